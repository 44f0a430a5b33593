package queue

import (
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// minRetryAfter is the smallest advice on the next try; shorter waits only repeat the refusal.
const minRetryAfter = 50 * time.Millisecond

// Predict tells how a request would be served, without admitting it.
func (q *Queue) Predict(now time.Time, r Request) Prediction {
	r = q.attainable(now, r)
	e := &entry{request: r, due: q.due(r), seq: q.seq + 1}
	p := Prediction{FirstToken: q.firstToken(now, e), BetweenTokens: q.betweenTokens()}
	p.Refusal = q.refusal(now, e, p.FirstToken)
	return p
}

// attainable moves the due time of a request whose own prefill alone takes longer than its target. Every idle runner
// would refuse such a request, so it could never be served; it gets as much time to wait as its prefill takes.
func (q *Queue) attainable(now time.Time, r Request) Request {
	own := q.alone(now, &r)
	if !r.FirstTokenBy.IsZero() && r.Arrived.Add(own).After(r.FirstTokenBy) {
		r.FirstTokenBy = r.Arrived.Add(2 * own)
		r.late = true
	}
	return r
}

func (q *Queue) betweenTokens() time.Duration {
	if q.rates.DecodeTokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / q.rates.DecodeTokensPerSecond)
}

// firstToken estimates the time to the first token: prefill work ahead, own prefill, wait for a slot, adapter load.
func (q *Queue) firstToken(now time.Time, e *entry) time.Duration {
	tokens := q.uncached(&e.request)
	for _, other := range q.running {
		tokens += other.remaining(now, q.rates)
	}
	over := q.overCap(&e.request)
	ahead := 0
	for _, other := range q.waiting {
		if other.before(e) || (over && !q.overCap(&other.request)) {
			ahead++
			tokens += q.uncached(&other.request)
		}
	}
	work := q.rates.prefillTime(tokens)
	if e.request.late {
		work = max(work, q.lateFrom.Sub(now)+q.rates.prefillTime(q.uncached(&e.request)))
	}
	return max(work, e.request.AdapterWait) + q.slotWait(ahead)
}

// slotWait estimates the time until a slot is free for a request with that many ahead of it.
func (q *Queue) slotWait(ahead int) time.Duration {
	missing := ahead + 1 - (q.rates.Slots - len(q.running))
	if missing <= 0 || q.rates.Slots <= 0 {
		return 0
	}
	return time.Duration(int64(q.service) * int64(missing) / int64(q.rates.Slots))
}

func (q *Queue) refusal(now time.Time, e *entry, predicted time.Duration) *failure.Failure {
	r := &e.request
	if q.contains(r.ID) {
		return refuse(failure.BadRequest, "request is already in the queue", 0)
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return refuse(failure.DeadlineExpired, "deadline has passed", 0)
	}
	if len(q.waiting) >= q.config.MaxQueued {
		return refuse(failure.Overloaded, "queue is full", max(minRetryAfter, q.service))
	}
	if q.queueCapReached(r) {
		return refuse(failure.CapExceeded, "member has too many waiting requests", max(minRetryAfter, q.service))
	}
	return q.targetRefusal(now, e, predicted)
}

func (q *Queue) targetRefusal(now time.Time, e *entry, predicted time.Duration) *failure.Failure {
	late := lateness(now, &e.request, predicted)
	if late > 0 && q.overCap(&e.request) && q.contended() {
		return refuse(failure.CapExceeded, "member is over its share while others wait", max(minRetryAfter, late))
	}
	if late > 0 {
		return refuse(failure.TargetMissed, "first token would come late", max(minRetryAfter, late))
	}
	if q.spoils(now, e) {
		return refuse(failure.TargetMissed, "admitted requests would miss their target", minRetryAfter)
	}
	return nil
}

// lateness returns by how much the predicted first token misses its due time; at most 0 if it does not.
func lateness(now time.Time, r *Request, predicted time.Duration) time.Duration {
	if r.FirstTokenBy.IsZero() {
		return 0
	}
	return now.Add(predicted).Sub(r.FirstTokenBy)
}

// spoils reports whether the request would make an admitted one of the same or a higher priority late.
func (q *Queue) spoils(now time.Time, e *entry) bool {
	own := q.rates.prefillTime(q.uncached(&e.request))
	for _, other := range q.waiting {
		if other.before(e) || other.request.Priority < e.request.Priority {
			continue
		}
		predicted := q.firstToken(now, other)
		if lateness(now, &other.request, predicted) <= 0 && lateness(now, &other.request, predicted+own) > 0 {
			return true
		}
	}
	return false
}

// contended reports whether requests wait or no slot is free.
func (q *Queue) contended() bool {
	return len(q.waiting) > 0 || len(q.running) >= q.rates.Slots
}

// overCap reports whether a member of the request already holds its share of the slots.
func (q *Queue) overCap(r *Request) bool {
	for _, m := range r.members() {
		if c, ok := q.caps[m]; ok && q.held[m] >= c.slotLimit(q.rates.Slots) {
			return true
		}
	}
	return false
}

func (q *Queue) queueCapReached(r *Request) bool {
	for _, m := range r.members() {
		if c, ok := q.caps[m]; ok && c.maxQueued > 0 && q.queued[m] >= c.maxQueued {
			return true
		}
	}
	return false
}
