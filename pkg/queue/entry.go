package queue

import (
	"cmp"
	"time"
)

// entry is one request that waits or runs.
type entry struct {
	request Request
	// due orders the waiting requests: the first token's due time less the head start of the priority.
	// Due times of later arrivals move on while this one stays, which ages waiting requests.
	due time.Time
	// seq breaks ties by arrival.
	seq uint64
	// started and prefilled are set for running requests.
	started   time.Time
	prefilled bool
	// long is set for running requests with a long prefill.
	long bool
}

// before reports whether a is served before b.
func (e *entry) before(b *entry) bool {
	if c := e.due.Compare(b.due); c != 0 {
		return c < 0
	}
	return e.seq < b.seq
}

func compareEntries(a, b *entry) int {
	if c := a.due.Compare(b.due); c != 0 {
		return c
	}
	return cmp.Compare(a.seq, b.seq)
}

// remaining returns the estimated prefill tokens that are still to be done.
func (e *entry) remaining(now time.Time, rates Rates) float64 {
	if e.prefilled {
		return 0
	}
	done := now.Sub(e.started).Seconds() * rates.PrefillTokensPerSecond
	return max(0, e.request.prefillTokens()-done)
}
