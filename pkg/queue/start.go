package queue

import (
	"math"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// Dropped is a waiting request that was removed because it could not be served in time.
type Dropped struct {
	ID      string
	Failure *failure.Failure
}

// StartNext drops the waiting requests that can no longer meet their target or deadline and starts requests while slots
// are free. The caller must call Finish for every started request.
func (q *Queue) StartNext(now time.Time) (started []Request, dropped []Dropped) {
	dropped = q.dropExpired(now)
	for len(q.running) < q.rates.Slots {
		i := q.nextStartable(now)
		if i < 0 {
			return started, dropped
		}
		started = append(started, q.start(now, i))
	}
	return started, dropped
}

// dropExpired removes and returns the waiting requests that can no longer meet their target or deadline.
func (q *Queue) dropExpired(now time.Time) []Dropped {
	var out []Dropped
	kept := q.waiting[:0]
	for _, e := range q.waiting {
		f := q.dropReason(now, &e.request)
		if f == nil {
			kept = append(kept, e)
			continue
		}
		addPerMember(q.queued, &e.request, -1)
		out = append(out, Dropped{ID: e.request.ID, Failure: f})
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	return out
}

// dropReason returns why a waiting request must be dropped: its deadline has passed, or it would miss its target even
// if it started now. It returns nil if the request can stay.
func (q *Queue) dropReason(now time.Time, r *Request) *failure.Failure {
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return newRefusal(failure.DeadlineExceeded, "deadline passed in the queue", 0)
	}
	late := lateness(now, r, q.rates.prefillTime(q.uncachedTokens(r)))
	if late > 0 {
		return newRefusal(failure.TargetMissed, "first token would miss its target by "+late.String()+" even if the request started now", max(minRetryAfter, late))
	}
	return nil
}

// nextStartable returns the index of the waiting request to start next; -1 if none may start. Requests of members under
// their caps come first. A request over a cap gets a slot only while none under its cap is waiting.
func (q *Queue) nextStartable(now time.Time) int {
	underCapWaits := false
	for i, e := range q.waiting {
		if q.overCap(&e.request) {
			continue
		}
		underCapWaits = true
		if q.prefillAllowed(now, e) {
			return i
		}
	}
	if underCapWaits {
		return -1
	}
	for i, e := range q.waiting {
		if q.prefillAllowed(now, e) {
			return i
		}
	}
	return -1
}

// prefillAllowed reports whether the prefill of a waiting request may start now. It bounds the long prefills in flight,
// so that a part of the prefill rate is left for short requests, and the rate of late prefills. A request waits while
// another one computes a long prefix that both share, because engines reuse a prefix only once it has been computed.
func (q *Queue) prefillAllowed(now time.Time, e *entry) bool {
	if q.prefillToAwait(&e.request) != nil || (e.request.late && now.Before(q.nextLatePrefill)) {
		return false
	}
	if !q.isLongPrefill(&e.request) {
		return true
	}
	limit := max(1, int(math.Floor(q.config.LongPrefillShare*float64(q.rates.Slots))))
	return q.longPrefillsInFlight() < limit
}

func (q *Queue) isLongPrefill(r *Request) bool {
	return q.rates.prefillTime(q.uncachedTokens(r)) >= q.config.LongPrefillTime && q.rates.PrefillTokensPerSecond > 0
}

func (q *Queue) longPrefillsInFlight() int {
	n := 0
	for _, e := range q.running {
		if !e.prefilled && e.longPrefill {
			n++
		}
	}
	return n
}

func (q *Queue) start(now time.Time, i int) Request {
	e := q.waiting[i]
	q.removeWaiting(i)
	e.started = now
	e.longPrefill = q.isLongPrefill(&e.request)
	if e.request.late && q.config.LatePrefillShare > 0 {
		own := q.rates.prefillTime(q.uncachedTokens(&e.request))
		q.nextLatePrefill = now.Add(time.Duration(float64(own) / q.config.LatePrefillShare))
	}
	e.request.CachedTokens = e.request.PromptTokens - min(e.request.PromptTokens, uint32(q.uncachedTokens(&e.request)))
	q.running[e.request.ID] = e
	addPerMember(q.slotsHeld, &e.request, 1)
	return e.request
}
