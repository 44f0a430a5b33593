package queue

import (
	"strconv"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// minRetryAfter is the smallest Retry-After; an earlier retry would only be refused again.
const minRetryAfter = 50 * time.Millisecond

// Predict returns how a request would be served, without admitting it.
func (q *Queue) Predict(now time.Time, r Request) Prediction {
	r = q.withAttainableTarget(now, r)
	e := &entry{request: r, due: q.due(r), seq: q.seq + 1}
	p := Prediction{FirstToken: q.firstToken(now, e), BetweenTokens: q.betweenTokens()}
	p.Refusal = q.checkAdmission(now, e, p.FirstToken)
	return p
}

// withAttainableTarget extends the target of a request whose prefill takes longer than the target even on an idle
// engine, and marks it as late. Every idle runner would refuse such a request, so it could never be served; the new
// target allows it to wait for as long as its prefill takes.
func (q *Queue) withAttainableTarget(now time.Time, r Request) Request {
	own := q.firstTokenAlone(now, &r)
	if !r.FirstTokenBy.IsZero() && r.Arrived.Add(own).After(r.FirstTokenBy) {
		r.FirstTokenBy = r.Arrived.Add(2 * own)
		r.late = true
	}
	return r
}

// betweenTokens returns the time between two tokens of a request; 0 while the rate is unknown.
func (q *Queue) betweenTokens() time.Duration {
	if q.rates.DecodeTokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / q.rates.DecodeTokensPerSecond)
}

// firstToken estimates the time to the first token. It covers the prefills ahead of the request, its own prefill, the
// wait for a slot and the load of its adapter.
func (q *Queue) firstToken(now time.Time, e *entry) time.Duration {
	tokens := q.uncachedTokens(&e.request)
	for _, other := range q.running {
		tokens += other.remainingPrefill(now, q.rates)
	}
	over := q.overCap(&e.request)
	ahead := 0
	for _, other := range q.waiting {
		if other.dueBefore(e) || (over && !q.overCap(&other.request)) {
			ahead++
			tokens += q.uncachedTokens(&other.request)
		}
	}
	work := q.rates.prefillTime(tokens)
	if e.request.late {
		work = max(work, q.nextLatePrefill.Sub(now)+q.rates.prefillTime(q.uncachedTokens(&e.request)))
	}
	return max(work, e.request.AdapterWait) + q.slotWait(ahead)
}

// slotWait estimates the time until a slot is free for a request with the given number of requests ahead of it.
func (q *Queue) slotWait(ahead int) time.Duration {
	missing := ahead + 1 - (q.rates.Slots - len(q.running))
	if missing <= 0 || q.rates.Slots <= 0 {
		return 0
	}
	return time.Duration(int64(q.meanSlotTime) * int64(missing) / int64(q.rates.Slots))
}

// checkAdmission returns the reason to refuse a request; nil if it can be admitted.
func (q *Queue) checkAdmission(now time.Time, e *entry, predicted time.Duration) *failure.Failure {
	r := &e.request
	if q.contains(r.ID) {
		return newRefusal(failure.BadRequest, "request "+r.ID+" is already in the queue", 0)
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return newRefusal(failure.DeadlineExceeded, "deadline has passed on arrival", 0)
	}
	if len(q.waiting) >= q.config.MaxQueued {
		return newRefusal(failure.Overloaded, "queue is full: "+strconv.Itoa(len(q.waiting))+" requests waiting", max(minRetryAfter, q.meanSlotTime))
	}
	if q.queueCapReached(r) {
		return newRefusal(failure.CapExceeded, "workspace, model or adapter has reached its cap on waiting requests", max(minRetryAfter, q.meanSlotTime))
	}
	return q.checkTarget(now, e, predicted)
}

// checkTarget returns the reason to refuse a request because it, or an admitted one, would miss its target; nil if none
// would.
func (q *Queue) checkTarget(now time.Time, e *entry, predicted time.Duration) *failure.Failure {
	late := lateness(now, &e.request, predicted)
	if late > 0 && q.overCap(&e.request) && q.contended() {
		return newRefusal(failure.CapExceeded, "workspace, model or adapter has used its share of the slots under contention", max(minRetryAfter, late))
	}
	if late > 0 {
		return newRefusal(failure.TargetMissed, "first token would miss its target by "+late.String(), max(minRetryAfter, late))
	}
	if q.delaysAdmitted(now, e) {
		return newRefusal(failure.TargetMissed, "an admitted request would miss its target", minRetryAfter)
	}
	return nil
}

// lateness returns how far after its target the predicted first token would come; at most 0 if it is in time.
func lateness(now time.Time, r *Request, predicted time.Duration) time.Duration {
	if r.FirstTokenBy.IsZero() {
		return 0
	}
	return now.Add(predicted).Sub(r.FirstTokenBy)
}

// delaysAdmitted reports whether admitting the request would make a waiting request of the same or a higher priority
// miss its target.
func (q *Queue) delaysAdmitted(now time.Time, e *entry) bool {
	own := q.rates.prefillTime(q.uncachedTokens(&e.request))
	for _, other := range q.waiting {
		if other.dueBefore(e) || other.request.Priority < e.request.Priority {
			continue
		}
		predicted := q.firstToken(now, other)
		if lateness(now, &other.request, predicted) <= 0 && lateness(now, &other.request, predicted+own) > 0 {
			return true
		}
	}
	return false
}

// contended reports whether requests are waiting or no slot is free.
func (q *Queue) contended() bool {
	return len(q.waiting) > 0 || len(q.running) >= q.rates.Slots
}

// overCap reports whether a member of the request already holds all slots that its cap permits.
func (q *Queue) overCap(r *Request) bool {
	for _, m := range r.members() {
		if c, ok := q.caps[m]; ok && q.slotsHeld[m] >= c.slotLimit(q.rates.Slots) {
			return true
		}
	}
	return false
}

// queueCapReached reports whether a member of the request has as many waiting requests as its cap permits.
func (q *Queue) queueCapReached(r *Request) bool {
	for _, m := range r.members() {
		if c, ok := q.caps[m]; ok && c.maxQueued > 0 && q.queued[m] >= c.maxQueued {
			return true
		}
	}
	return false
}
