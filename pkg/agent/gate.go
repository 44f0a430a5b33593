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

// Gate shares one queue between the traffic goroutines.
type Gate struct {
	clock clock.Clock

	mu      sync.Mutex
	queue   *queue.Queue
	waiters map[string]chan error
}

// NewGate returns a gate without slots; SetRates opens it.
func NewGate(config queue.Config, c clock.Clock) *Gate {
	return &Gate{clock: c, queue: queue.New(config, queue.Rates{}), waiters: map[string]chan error{}}
}

// SetRates takes over what the engine reports.
func (g *Gate) SetRates(r queue.Rates) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetRates(r)
	g.pump()
}

// SetCaps takes over the published caps.
func (g *Gate) SetCaps(caps []*object.Cap) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.SetCaps(caps)
	g.pump()
}

// Predict tells how a request would be served now.
func (g *Gate) Predict(r queue.Request) queue.Prediction {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Predict(g.clock.Now(), r)
}

// Load returns the waiting and the running requests.
func (g *Gate) Load() (waiting, running int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Waiting(), g.queue.Running()
}

// Admit waits for a slot. Every failure has outcome NotRun. The slot must be released.
func (g *Gate) Admit(ctx context.Context, r queue.Request) (*Slot, error) {
	started, err := g.offer(r)
	if err != nil {
		return nil, err
	}
	for {
		select {
		case err := <-started:
			if err != nil {
				return nil, err
			}
			return &Slot{gate: g, id: r.ID}, nil
		case <-ctx.Done():
			g.withdraw(r.ID)
			return nil, failure.Wrap(failure.ClientCancelled, failure.NotRun, "request was given up in the queue", ctx.Err())
		case <-g.dueTimer(r):
			g.mu.Lock()
			g.pump()
			g.mu.Unlock()
		}
	}
}

// duePause is the pause between two looks at a request that is late but still waits.
const duePause = 50 * time.Millisecond

// dueTimer fires when the queue should look at the request again; nil without a due time.
func (g *Gate) dueTimer(r queue.Request) <-chan time.Time {
	due := r.FirstTokenBy
	if due.IsZero() || (!r.Deadline.IsZero() && r.Deadline.Before(due)) {
		due = r.Deadline
	}
	if due.IsZero() {
		return nil
	}
	return g.clock.After(max(duePause, due.Sub(g.clock.Now())))
}

func (g *Gate) offer(r queue.Request) (<-chan error, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.queue.Offer(g.clock.Now(), r); err != nil {
		return nil, err
	}
	started := make(chan error, 1)
	g.waiters[r.ID] = started
	g.pump()
	return started, nil
}

// withdraw gives up a request that waits or has just been started.
func (g *Gate) withdraw(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, id)
	if !g.queue.Cancel(id) {
		g.queue.Finish(g.clock.Now(), id)
	}
	g.pump()
}

// pump starts what may start. The caller holds the lock.
func (g *Gate) pump() {
	started, refused := g.queue.Next(g.clock.Now())
	for _, r := range started {
		g.tell(r.ID, nil)
	}
	for _, r := range refused {
		g.tell(r.ID, r.Failure)
	}
}

func (g *Gate) tell(id string, err error) {
	if waiter, ok := g.waiters[id]; ok {
		delete(g.waiters, id)
		waiter <- err
	}
}

// Slot is one slot of the engine.
type Slot struct {
	gate *Gate
	id   string
	once sync.Once
}

// FirstToken notes that the prefill is over.
func (s *Slot) FirstToken() {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	s.gate.queue.Prefilled(s.id)
	s.gate.pump()
}

// Release gives the slot back; further calls do nothing.
func (s *Slot) Release() {
	s.once.Do(func() {
		s.gate.mu.Lock()
		defer s.gate.mu.Unlock()
		s.gate.queue.Finish(s.gate.clock.Now(), s.id)
		s.gate.pump()
	})
}
