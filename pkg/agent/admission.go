package agent

import (
	"context"
	"sync"
	"time"

	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/object"
	"trefoilferry.example/ferry/pkg/queue"
)

// AdmissionQueue is the admission queue for generations. It makes a queue.Queue safe for concurrent use and lets requests
// wait in it.
type AdmissionQueue struct {
	clock clock.Clock

	mu      sync.Mutex
	queue   *queue.Queue
	waiters map[string]chan error
}

// NewAdmissionQueue returns a queue without slots, which admits no requests until SetRates sets their number.
func NewAdmissionQueue(config queue.Config, c clock.Clock) *AdmissionQueue {
	return &AdmissionQueue{clock: c, queue: queue.New(config, queue.Rates{}), waiters: map[string]chan error{}}
}

// SetRates sets the number of slots and the token rates that the engine reports.
func (q *AdmissionQueue) SetRates(r queue.Rates) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.SetRates(r)
	q.dispatch()
}

// SetCaps sets the published caps.
func (q *AdmissionQueue) SetCaps(caps []*object.Cap) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue.SetCaps(caps)
	q.dispatch()
}

// Predict returns how a request would be served if it arrived now.
func (q *AdmissionQueue) Predict(r queue.Request) queue.Prediction {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Predict(q.clock.Now(), r)
}

// Load returns the numbers of waiting and running requests.
func (q *AdmissionQueue) Load() (waiting, running int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queue.Waiting(), q.queue.Running()
}

// Admit waits for a slot, which the caller must release. Every failure has outcome NotRun.
func (q *AdmissionQueue) Admit(ctx context.Context, r queue.Request) (*Slot, error) {
	started, err := q.enqueue(r)
	if err != nil {
		return nil, err
	}
	for {
		select {
		case err := <-started:
			if err != nil {
				return nil, err
			}
			return &Slot{queue: q, id: r.ID}, nil
		case <-ctx.Done():
			q.cancel(r.ID)
			return nil, failure.Wrap(failure.ClientCancelled, failure.NotRun, "request was cancelled in the admission queue", ctx.Err())
		case <-q.dispatchTimer(r):
			q.mu.Lock()
			q.dispatch()
			q.mu.Unlock()
		}
	}
}

// lateRecheckInterval is the time between two checks of a request that is overdue but still waits.
const lateRecheckInterval = 50 * time.Millisecond

// dispatchTimer fires when the queue must check the request again: at its target or its deadline, whichever is earlier.
// It returns nil for a request with neither.
func (q *AdmissionQueue) dispatchTimer(r queue.Request) <-chan time.Time {
	due := r.FirstTokenBy
	if due.IsZero() || (!r.Deadline.IsZero() && r.Deadline.Before(due)) {
		due = r.Deadline
	}
	if due.IsZero() {
		return nil
	}
	return q.clock.After(max(lateRecheckInterval, due.Sub(q.clock.Now())))
}

func (q *AdmissionQueue) enqueue(r queue.Request) (<-chan error, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := q.queue.Admit(q.clock.Now(), r); err != nil {
		return nil, err
	}
	started := make(chan error, 1)
	q.waiters[r.ID] = started
	q.dispatch()
	return started, nil
}

// cancel removes a request that waits, or frees its slot if it has just been started.
func (q *AdmissionQueue) cancel(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiters, id)
	if !q.queue.Cancel(id) {
		q.queue.Finish(q.clock.Now(), id)
	}
	q.dispatch()
}

// dispatch wakes the requests that the queue starts or refuses now. The caller must hold mu.
func (q *AdmissionQueue) dispatch() {
	started, refused := q.queue.StartNext(q.clock.Now())
	for _, r := range started {
		q.notify(r.ID, nil)
	}
	for _, r := range refused {
		q.notify(r.ID, r.Failure)
	}
}

func (q *AdmissionQueue) notify(id string, err error) {
	if waiter, ok := q.waiters[id]; ok {
		delete(q.waiters, id)
		waiter <- err
	}
}

// Slot is an admitted request's slot in the engine's batch.
type Slot struct {
	queue *AdmissionQueue
	id    string
	once  sync.Once
}

// FirstToken records that the request's prefill has ended.
func (s *Slot) FirstToken() {
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	s.queue.queue.RecordFirstToken(s.id)
	s.queue.dispatch()
}

// Release frees the slot. Further calls do nothing.
func (s *Slot) Release() {
	s.once.Do(func() {
		s.queue.mu.Lock()
		defer s.queue.mu.Unlock()
		s.queue.queue.Finish(s.queue.clock.Now(), s.id)
		s.queue.dispatch()
	})
}
