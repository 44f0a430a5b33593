package queue

import (
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/object"
)

// Queue holds the waiting and running requests of one engine.
type Queue struct {
	config Config
	rates  Rates
	caps   capTable
	// seq is the number of admitted requests.
	seq uint64
	// waiting is sorted by due time, then by arrival.
	waiting []*entry
	// running has the request id as its key.
	running map[string]*entry
	// slotsHeld and queued count the running and the waiting requests by member.
	slotsHeld map[member]int
	queued    map[member]int
	// meanSlotTime is the moving average of the time that a request holds a slot; 0 until one has finished.
	meanSlotTime time.Duration
	// nextLatePrefill is the earliest time at which another late prefill may start.
	nextLatePrefill time.Time
}

// New returns an empty queue.
func New(config Config, rates Rates) *Queue {
	return &Queue{
		config:    config,
		rates:     rates,
		caps:      capTable{},
		running:   map[string]*entry{},
		slotsHeld: map[member]int{},
		queued:    map[member]int{},
	}
}

// SetRates replaces the rates of the engine.
func (q *Queue) SetRates(rates Rates) { q.rates = rates }

// SetCaps replaces the caps. Running requests keep their slots.
func (q *Queue) SetCaps(caps []*object.Cap) { q.caps = newCapTable(caps) }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns the number of running requests.
func (q *Queue) Running() int { return len(q.running) }

// Admit adds a request to the waiting ones, or refuses it with a failure of outcome NotRun.
func (q *Queue) Admit(now time.Time, r Request) error {
	r = q.withAttainableTarget(now, r)
	if f := q.Predict(now, r).Refusal; f != nil {
		return f
	}
	e := q.newEntry(r)
	at, _ := slices.BinarySearchFunc(q.waiting, e, compareEntries)
	q.waiting = slices.Insert(q.waiting, at, e)
	addPerMember(q.queued, &e.request, 1)
	return nil
}

// Cancel removes a waiting request and reports whether there was one with that id.
func (q *Queue) Cancel(id string) bool {
	for i, e := range q.waiting {
		if e.request.ID == id {
			q.removeWaiting(i)
			return true
		}
	}
	return false
}

// RecordFirstToken records that a running request has produced its first token.
func (q *Queue) RecordFirstToken(id string) {
	if e, ok := q.running[id]; ok {
		e.prefilled = true
	}
}

// Finish releases the slot of a running request.
func (q *Queue) Finish(now time.Time, id string) {
	e, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	addPerMember(q.slotsHeld, &e.request, -1)
	q.updateMeanSlotTime(now.Sub(e.started))
}

// slotTimeWeight is the weight of the latest request in meanSlotTime.
const slotTimeWeight = 0.1

func (q *Queue) updateMeanSlotTime(d time.Duration) {
	if q.meanSlotTime == 0 {
		q.meanSlotTime = d
		return
	}
	q.meanSlotTime += time.Duration(slotTimeWeight * float64(d-q.meanSlotTime))
}

func (q *Queue) newEntry(r Request) *entry {
	q.seq++
	return &entry{request: r, due: q.due(r), seq: q.seq}
}

// due returns the time by which the queue orders a request.
func (q *Queue) due(r Request) time.Time {
	due := r.FirstTokenBy
	if due.IsZero() {
		due = r.Arrived.Add(q.config.DefaultTarget)
	}
	priority := min(max(r.Priority, -q.config.MaxPriority), q.config.MaxPriority)
	return due.Add(-time.Duration(priority) * q.config.PriorityStep)
}

func (q *Queue) removeWaiting(i int) {
	addPerMember(q.queued, &q.waiting[i].request, -1)
	q.waiting = slices.Delete(q.waiting, i, i+1)
}

func (q *Queue) contains(id string) bool {
	if _, ok := q.running[id]; ok {
		return true
	}
	return slices.ContainsFunc(q.waiting, func(e *entry) bool { return e.request.ID == id })
}

// addPerMember adds by to the counts of the request's members and deletes counts that become 0.
func addPerMember(table map[member]int, r *Request, by int) {
	for _, m := range r.members() {
		table[m] += by
		if table[m] == 0 {
			delete(table, m)
		}
	}
}

func newRefusal(code failure.Code, message string, retryAfter time.Duration) *failure.Failure {
	return failure.New(code, failure.NotRun, message).WithRetryAfter(retryAfter)
}
