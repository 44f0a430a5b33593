package retry

import "time"

// Limits are the settings of a Budget.
type Limits struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// PerSecond is the number of retries that each second adds.
	PerSecond float64
	// Burst is the largest number of retries that the budget accumulates.
	Burst float64
}

// DefaultLimits permits retries for 10% of the requests plus 3 per second, so that retries add no more than about a
// tenth to the load of a failing fleet.
var DefaultLimits = Limits{Ratio: 0.1, PerSecond: 3, Burst: 20}

// Budget is a token bucket of retries. It reads no clock and is not safe for concurrent use.
type Budget struct {
	limits Limits
	tokens float64
	last   time.Time
}

// NewBudget returns a full budget.
func NewBudget(limits Limits, now time.Time) *Budget {
	return &Budget{limits: limits, tokens: limits.Burst, last: now}
}

// SetLimits changes the limits from now on. Retries beyond a smaller burst are discarded.
func (b *Budget) SetLimits(limits Limits, now time.Time) {
	if limits == b.limits {
		return
	}
	b.refill(now)
	b.limits = limits
	b.add(0)
}

// RecordRequest adds Ratio retries for one request of a caller.
func (b *Budget) RecordRequest(now time.Time) {
	b.refill(now)
	b.add(b.limits.Ratio)
}

// Take spends one retry and reports whether the budget had one.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// RetryAfter returns the time until the budget permits a retry, without counting further requests. It returns a minute
// if PerSecond is 0.
func (b *Budget) RetryAfter(now time.Time) time.Duration {
	b.refill(now)
	missing := 1 - b.tokens
	if missing <= 0 {
		return 0
	}
	if b.limits.PerSecond <= 0 {
		return time.Minute
	}
	return time.Duration(missing / b.limits.PerSecond * float64(time.Second))
}

func (b *Budget) refill(now time.Time) {
	passed := now.Sub(b.last)
	if passed <= 0 {
		return
	}
	b.last = now
	b.add(passed.Seconds() * b.limits.PerSecond)
}

func (b *Budget) add(tokens float64) {
	b.tokens = min(b.tokens+tokens, b.limits.Burst)
}
