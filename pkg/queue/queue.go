package queue

import (
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/object"
)

// Queue holds the waiting and running requests of one engine.
type Queue struct {
	config  Config
	rates   Rates
	caps    capTable
	seq     uint64
	waiting []*entry
	running map[string]*entry
	held    map[member]int
	queued  map[member]int
	// service is the mean time that a request holds a slot; 0 until the first one finished.
	service time.Duration
	// lateFrom is the time from which the next late prefill may start.
	lateFrom time.Time
}

// New returns an empty queue.
func New(config Config, rates Rates) *Queue {
	return &Queue{
		config:  config,
		rates:   rates,
		caps:    capTable{},
		running: map[string]*entry{},
		held:    map[member]int{},
		queued:  map[member]int{},
	}
}

// SetRates replaces the description of the engine.
func (q *Queue) SetRates(rates Rates) { q.rates = rates }

// SetCaps replaces the caps. Requests that already run keep their slots.
func (q *Queue) SetCaps(caps []*object.Cap) { q.caps = newCapTable(caps) }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.waiting) }

// Running returns the number of running requests.
func (q *Queue) Running() int { return len(q.running) }

// Offer admits a request or refuses it with outcome NotRun.
func (q *Queue) Offer(now time.Time, r Request) error {
	r = q.attainable(now, r)
	if f := q.Predict(now, r).Refusal; f != nil {
		return f
	}
	e := q.newEntry(r)
	at, _ := slices.BinarySearchFunc(q.waiting, e, compareEntries)
	q.waiting = slices.Insert(q.waiting, at, e)
	count(q.queued, &e.request, 1)
	return nil
}

// Cancel removes a waiting request; it reports whether the request was waiting.
func (q *Queue) Cancel(id string) bool {
	for i, e := range q.waiting {
		if e.request.ID == id {
			q.removeWaiting(i)
			return true
		}
	}
	return false
}

// Prefilled notes that the first token of a running request has come.
func (q *Queue) Prefilled(id string) {
	if e, ok := q.running[id]; ok {
		e.prefilled = true
	}
}

// Finish gives the slot of a running request back.
func (q *Queue) Finish(now time.Time, id string) {
	e, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	count(q.held, &e.request, -1)
	q.learn(now.Sub(e.started))
}

// serviceWeight is the weight of the newest request in the mean slot time.
const serviceWeight = 0.1

func (q *Queue) learn(d time.Duration) {
	if q.service == 0 {
		q.service = d
		return
	}
	q.service += time.Duration(serviceWeight * float64(d-q.service))
}

func (q *Queue) newEntry(r Request) *entry {
	q.seq++
	return &entry{request: r, due: q.due(r), seq: q.seq}
}

func (q *Queue) due(r Request) time.Time {
	due := r.FirstTokenBy
	if due.IsZero() {
		due = r.Arrived.Add(q.config.Patience)
	}
	priority := min(max(r.Priority, -q.config.MaxPriority), q.config.MaxPriority)
	return due.Add(-time.Duration(priority) * q.config.PriorityStep)
}

func (q *Queue) removeWaiting(i int) {
	count(q.queued, &q.waiting[i].request, -1)
	q.waiting = slices.Delete(q.waiting, i, i+1)
}

func (q *Queue) contains(id string) bool {
	if _, ok := q.running[id]; ok {
		return true
	}
	return slices.ContainsFunc(q.waiting, func(e *entry) bool { return e.request.ID == id })
}

func count(table map[member]int, r *Request, by int) {
	for _, m := range r.members() {
		table[m] += by
		if table[m] == 0 {
			delete(table, m)
		}
	}
}

func refuse(code failure.Code, message string, retryAfter time.Duration) *failure.Failure {
	return failure.New(code, failure.NotRun, message).WithRetryAfter(retryAfter)
}
