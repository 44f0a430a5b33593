package queue

import (
	"math"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// Refused is a waiting request that was given up.
type Refused struct {
	ID      string
	Failure *failure.Failure
}

// Next starts the requests for which slots are free and gives up those that can no longer meet their target.
// The caller must call Finish for every started request.
func (q *Queue) Next(now time.Time) (started []Request, refused []Refused) {
	refused = q.dropLate(now)
	for len(q.running) < q.rates.Slots {
		i := q.pick(now)
		if i < 0 {
			return started, refused
		}
		started = append(started, q.start(now, i))
	}
	return started, refused
}

func (q *Queue) dropLate(now time.Time) []Refused {
	var out []Refused
	kept := q.waiting[:0]
	for _, e := range q.waiting {
		f := q.givenUp(now, &e.request)
		if f == nil {
			kept = append(kept, e)
			continue
		}
		count(q.queued, &e.request, -1)
		out = append(out, Refused{ID: e.request.ID, Failure: f})
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	return out
}

// givenUp returns the reason to drop a waiting request: even alone it would now miss its target or its deadline.
func (q *Queue) givenUp(now time.Time, r *Request) *failure.Failure {
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return refuse(failure.DeadlineExpired, "deadline passed in the queue", 0)
	}
	late := lateness(now, r, q.rates.prefillTime(q.uncached(r)))
	if late > 0 {
		return refuse(failure.TargetMissed, "first token can no longer come in time", max(minRetryAfter, late))
	}
	return nil
}

// pick returns the index of the waiting request to start; -1 if none may start.
// Members under their cap come first. A member over its cap borrows a slot only while no other member waits.
func (q *Queue) pick(now time.Time) int {
	underCapWaits := false
	for i, e := range q.waiting {
		if q.overCap(&e.request) {
			continue
		}
		underCapWaits = true
		if q.prefillPermits(now, e) {
			return i
		}
	}
	if underCapWaits {
		return -1
	}
	for i, e := range q.waiting {
		if q.prefillPermits(now, e) {
			return i
		}
	}
	return -1
}

// prefillPermits bounds the long prefills in flight, so that short requests keep a part of the prefill rate. A request
// whose prompt another one is computing waits, because engines share a prefix only once it is computed.
func (q *Queue) prefillPermits(now time.Time, e *entry) bool {
	if q.leader(&e.request) != nil || (e.request.late && now.Before(q.lateFrom)) {
		return false
	}
	if !q.long(&e.request) {
		return true
	}
	limit := max(1, int(math.Floor(q.config.LongShare*float64(q.rates.Slots))))
	return q.longInFlight() < limit
}

func (q *Queue) long(r *Request) bool {
	return q.rates.prefillTime(q.uncached(r)) >= q.config.LongPrefill && q.rates.PrefillTokensPerSecond > 0
}

func (q *Queue) longInFlight() int {
	n := 0
	for _, e := range q.running {
		if !e.prefilled && e.long {
			n++
		}
	}
	return n
}

func (q *Queue) start(now time.Time, i int) Request {
	e := q.waiting[i]
	q.removeWaiting(i)
	e.started = now
	e.long = q.long(&e.request)
	if e.request.late && q.config.LateShare > 0 {
		own := q.rates.prefillTime(q.uncached(&e.request))
		q.lateFrom = now.Add(time.Duration(float64(own) / q.config.LateShare))
	}
	e.request.CachedTokens = e.request.PromptTokens - min(e.request.PromptTokens, uint32(q.uncached(&e.request)))
	q.running[e.request.ID] = e
	count(q.held, &e.request, 1)
	return e.request
}
