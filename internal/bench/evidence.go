package bench

import (
	"context"
	"sync"

	"trefoilferry.example/ferry/internal/cluster"
	standin "trefoilferry.example/ferry/pkg/standin/engine"
	"trefoilferry.example/ferry/pkg/standin/service"
)

// Evidence is what the backend servers counted, ended processes included.
type Evidence struct {
	Moves            Moves
	Overdraws        int
	CutRequests      int
	ResumeMismatches int
	// Runs tells which runners ran a request, by request id.
	Runs map[string][]string
	// KeyRuns counts the runs of each idempotency key.
	KeyRuns map[string]int
}

func newEvidence() *Evidence {
	return &Evidence{Runs: map[string][]string{}, KeyRuns: map[string]int{}}
}

func (e *Evidence) addEngine(runner string, c *standin.Counters) {
	e.Moves = e.Moves.plus(movesOf(c))
	e.Overdraws += c.Overdraws
	e.CutRequests += c.CutRequests
	e.ResumeMismatches += c.ResumeMismatches
	e.addRuns(runner, c.ByRequest)
}

func (e *Evidence) addService(runner string, c *service.Counts) {
	for key, n := range c.ByKey {
		e.KeyRuns[key] += n
	}
	e.addRuns(runner, c.ByRequest)
}

func (e *Evidence) addRuns(runner string, byRequest map[string]int) {
	for id := range byRequest {
		e.Runs[id] = append(e.Runs[id], runner)
	}
}

// witness reads the counters of the backend servers. Counters of a process are read before a fault ends it, so that
// they are not lost. It is safe for concurrent use.
type witness struct {
	cluster *cluster.Cluster
	mu      sync.Mutex
	engines map[string][]*standin.Counters
	calls   map[string][]*service.Counts
}

func newWitness(c *cluster.Cluster) *witness {
	return &witness{cluster: c, engines: map[string][]*standin.Counters{}, calls: map[string][]*service.Counts{}}
}

// retire keeps the counters of a backend server that is about to be ended.
func (w *witness) retire(ctx context.Context, r *cluster.Runner) {
	w.mu.Lock()
	defer w.mu.Unlock()
	name := r.Spec.Name
	if r.Spec.Service != "" {
		if c := w.readService(ctx, r); c != nil {
			w.calls[name] = append(w.calls[name], c)
		}
		return
	}
	if c := w.readEngine(ctx, r); c != nil {
		w.engines[name] = append(w.engines[name], c)
	}
}

func (w *witness) readEngine(ctx context.Context, r *cluster.Runner) *standin.Counters {
	c := &standin.Counters{}
	if !r.Backend.Running() || w.cluster.Counters(ctx, r.BackendURL, "/counters", c) != nil {
		return nil
	}
	return c
}

func (w *witness) readService(ctx context.Context, r *cluster.Runner) *service.Counts {
	c := &service.Counts{}
	if !r.Backend.Running() || w.cluster.Counters(ctx, r.BackendURL, "/counts", c) != nil {
		return nil
	}
	return c
}

// read returns the evidence so far.
func (w *witness) read(ctx context.Context) *Evidence {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := newEvidence()
	for _, r := range w.cluster.Runners {
		w.readRunner(ctx, e, r)
	}
	return e
}

func (w *witness) readRunner(ctx context.Context, e *Evidence, r *cluster.Runner) {
	name := r.Spec.Name
	for _, c := range w.engines[name] {
		e.addEngine(name, c)
	}
	for _, c := range w.calls[name] {
		e.addService(name, c)
	}
	if r.Spec.Service != "" {
		if c := w.readService(ctx, r); c != nil {
			e.addService(name, c)
		}
		return
	}
	if c := w.readEngine(ctx, r); c != nil {
		e.addEngine(name, c)
	}
}
