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

// AdmissionQueue is the admission queue for generations. It makes a queue.Queue safe for concurrent use and lets requests wait in it.
type AdmissionQueue struct {
	clock clock.Clock

	mu      sync.Mutex
	queue   *queue.Queue
	waiters map[string]chan error
}

// NewAdmissionQueue returns a Gate without slots, which admits no requests until SetRates sets their number.
func NewAdmissionQueue(config queue.Config, c clock.Clock) *AdmissionQueue {
	return &AdmissionQueue{clock: c, queue: queue.New(config, queue.Rates{}), waiters: map[string]chan error{}}
}

// SetRates sets the number of slots and the token rates that the engine reports.
func (g *AdmissionQueue) SetRates(r queue.Rates) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetRates(r)
	g.dispatch()
}

// SetCaps sets the published caps.
func (g *AdmissionQueue) SetCaps(caps []*object.Cap) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetCaps(caps)
	g.dispatch()
}

// Predict returns how a request would be served if it arrived now.
func (g *AdmissionQueue) Predict(r queue.Request) queue.Prediction {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Predict(g.clock.Now(), r)
}

// Load returns the numbers of waiting and running requests.
func (g *AdmissionQueue) Load() (waiting, running int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Waiting(), g.queue.Running()
}

// Admit waits for a slot, which the caller must release. Every failure has outcome NotRun.
func (g *AdmissionQueue) Admit(ctx context.Context, r queue.Request) (*Slot, error) {
	started, err := g.enqueue(r)
	if err != nil {
		return nil, err
	}
	for {
		select {
		case err := <-started:
			if err != nil {
				return nil, err
			}
			return &Slot{queue: g, id: r.ID}, nil
		case <-ctx.Done():
			g.cancel(r.ID)
			return nil, failure.Wrap(failure.ClientCancelled, failure.NotRun, "request was cancelled in the admission queue", ctx.Err())
		case <-g.dispatchTimer(r):
			g.mu.Lock()
			g.dispatch()
			g.mu.Unlock()
		}
	}
}

// lateRecheckInterval is the time between two checks of a request that is overdue but still waits.
const lateRecheckInterval = 50 * time.Millisecond

// dispatchTimer fires when the queue must check the request again: at its target or its deadline, whichever is earlier.
// It returns nil for a request with neither.
func (g *AdmissionQueue) dispatchTimer(r queue.Request) <-chan time.Time {
	due := r.FirstTokenBy
	if due.IsZero() || (!r.Deadline.IsZero() && r.Deadline.Before(due)) {
		due = r.Deadline
	}
	if due.IsZero() {
		return nil
	}
	return g.clock.After(max(lateRecheckInterval, due.Sub(g.clock.Now())))
}

func (g *AdmissionQueue) enqueue(r queue.Request) (<-chan error, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.queue.Admit(g.clock.Now(), r); err != nil {
		return nil, err
	}
	started := make(chan error, 1)
	g.waiters[r.ID] = started
	g.dispatch()
	return started, nil
}

// cancel removes a request that waits, or frees its slot if it has just been started.
func (g *AdmissionQueue) cancel(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, id)
	if !g.queue.Cancel(id) {
		g.queue.Finish(g.clock.Now(), id)
	}
	g.dispatch()
}

// dispatch wakes the requests that the queue starts or refuses now. The caller must hold mu.
func (g *AdmissionQueue) dispatch() {
	started, refused := g.queue.StartNext(g.clock.Now())
	for _, r := range started {
		g.notify(r.ID, nil)
	}
	for _, r := range refused {
		g.notify(r.ID, r.Failure)
	}
}

func (g *AdmissionQueue) notify(id string, err error) {
	if waiter, ok := g.waiters[id]; ok {
		delete(g.waiters, id)
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
