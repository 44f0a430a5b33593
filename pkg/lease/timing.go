package lease

import "time"

// Timing holds the durations that govern the lease.
type Timing struct {
	// Validity is how long a renewal is valid, counted from when it was sent.
	Validity time.Duration
	// RenewInterval is the interval between renewals.
	RenewInterval time.Duration
	// TakeoverAfter is the time without a renewal after which another daemon may take the lease.
	TakeoverAfter time.Duration
	// HolderGap is the minimum time between the last order of one holder and the first order of the next.
	HolderGap time.Duration
	// Fenced is set when all backend servers reject orders with lower fencing tokens; Validity and HolderGap are then
	// unused.
	Fenced bool
}

// orderTransitMargin covers orders that are still in transit when the validity ends.
const orderTransitMargin = 300 * time.Millisecond

// NewTiming returns the timing for backend servers that do not check fencing tokens: orders of two holders must be at
// least holderGap apart.
func NewTiming(holderGap time.Duration) Timing {
	return Timing{
		Validity:      2500 * time.Millisecond, // two renewals may be lost without losing the lease
		RenewInterval: 900 * time.Millisecond,
		TakeoverAfter: 2700 * time.Millisecond, // longer than Validity, so that a live holder is rarely replaced
		HolderGap:     holderGap + orderTransitMargin,
	}
}

// NewFencedTiming returns the timing for backend servers that reject lower fencing tokens. An old holder can do no
// harm there, so a holder continues while the store is unreachable and the next one sends orders at once.
func NewFencedTiming() Timing {
	return Timing{
		RenewInterval: 800 * time.Millisecond,
		TakeoverAfter: 1700 * time.Millisecond, // two renewals may be lost
		Fenced:        true,
	}
}
