package queue

import (
	"cmp"
	"time"
)

// entry is one request that waits or runs.
type entry struct {
	request Request
	// due orders the waiting requests: the time at which the first token is due, adjusted by the priority. It is fixed at
	// arrival, so that a waiting request moves ahead of later arrivals as time passes.
	due time.Time
	// seq breaks ties in order of arrival.
	seq uint64
	// started is when a running request got its slot; prefilled is set once it has its first token.
	started   time.Time
	prefilled bool
	// longPrefill is set for running requests whose prefill counted as long at their start.
	longPrefill bool
}

// dueBefore reports whether e precedes b in the order of the queue.
func (e *entry) dueBefore(b *entry) bool {
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

// remainingPrefill returns the estimated number of prompt tokens that the engine still has to compute for a running
// request.
func (e *entry) remainingPrefill(now time.Time, rates Rates) float64 {
	if e.prefilled {
		return 0
	}
	done := now.Sub(e.started).Seconds() * rates.PrefillTokensPerSecond
	return max(0, e.request.prefillTokens()-done)
}
