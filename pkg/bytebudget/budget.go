package bytebudget

import "sync/atomic"

const (
	// Allowance is what each share holds without taking it from the budget, in bytes. Usual heads, events and responses of
	// plain services fit, so that they are received whatever else the process holds.
	Allowance = 8 << 10
	// step is how many bytes a share takes at a time.
	step = 8 << 10
)

// Budget is a number of bytes that shares draw from. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the bytes that all shares have taken together.
func (b *Budget) Used() int64 { return b.used.Load() }

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// take takes n bytes for a share that has taken held before.
func (b *Budget) take(held, n int64) bool {
	for {
		used := b.used.Load()
		if !mayTake(held, used, n, b.limit) {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

const (
	// smallShare and mediumShare are the sizes up to which a share may draw from the whole budget, and from three quarters.
	smallShare  = 64 << 10
	mediumShare = 1 << 20
)

// mayTake reports whether a share that holds held of the used bytes may take n more. The larger the share, the more has to
// be left for others: bytes without end on many connections stop while there is room for usual messages.
func mayTake(held, used, n, limit int64) bool {
	available := limit
	switch size := held + n; {
	case size > mediumShare:
		available = limit / 2
	case size > smallShare:
		available = limit / 4 * 3
	}
	return used+n <= available
}
