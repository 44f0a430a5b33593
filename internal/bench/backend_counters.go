package bench

import (
	"context"
	"sync"

	"trefoilferry.example/ferry/internal/cluster"
	standin "trefoilferry.example/ferry/pkg/standin/engine"
	"trefoilferry.example/ferry/pkg/standin/service"
)

// BackendCounters holds the counters of all backend servers, also of processes that a fault has killed.
type BackendCounters struct {
	Moves            Moves
	Overdraws        int
	CutRequests      int
	ResumeMismatches int
	// RunnersByRequest maps a request ID to the names of the runners that ran the request.
	RunnersByRequest map[string][]string
	// RunsByKey maps an idempotency key to the number of runs of its call.
	RunsByKey map[string]int
}

func newBackendCounters() *BackendCounters {
	return &BackendCounters{RunnersByRequest: map[string][]string{}, RunsByKey: map[string]int{}}
}

func (b *BackendCounters) addEngine(runner string, c *standin.Counters) {
	b.Moves = b.Moves.plus(movesOf(c))
	b.Overdraws += c.Overdraws
	b.CutRequests += c.CutRequests
	b.ResumeMismatches += c.ResumeMismatches
	b.addRuns(runner, c.ByRequest)
}

func (b *BackendCounters) addService(runner string, c *service.Counts) {
	for key, n := range c.ByKey {
		b.RunsByKey[key] += n
	}
	b.addRuns(runner, c.ByRequest)
}

func (b *BackendCounters) addRuns(runner string, byRequest map[string]int) {
	for id := range byRequest {
		b.RunnersByRequest[id] = append(b.RunnersByRequest[id], runner)
	}
}

// counterCollector reads the counters of the backend servers. The counters of a process are saved before a fault kills
// it, because they are lost with the process. It is safe for concurrent use.
type counterCollector struct {
	cluster *cluster.Cluster
	mu      sync.Mutex
	// engines and services hold the saved counters of killed processes by name of the runner.
	engines  map[string][]*standin.Counters
	services map[string][]*service.Counts
}

func newCounterCollector(c *cluster.Cluster) *counterCollector {
	return &counterCollector{cluster: c, engines: map[string][]*standin.Counters{}, services: map[string][]*service.Counts{}}
}

// save stores the counters of a backend server that is about to be killed.
func (cc *counterCollector) save(ctx context.Context, r *cluster.Runner) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	name := r.Spec.Name
	if r.Spec.Service != "" {
		if c := cc.readService(ctx, r); c != nil {
			cc.services[name] = append(cc.services[name], c)
		}
		return
	}
	if c := cc.readEngine(ctx, r); c != nil {
		cc.engines[name] = append(cc.engines[name], c)
	}
}

// readEngine returns the counters of a running engine, or nil if they cannot be read.
func (cc *counterCollector) readEngine(ctx context.Context, r *cluster.Runner) *standin.Counters {
	c := &standin.Counters{}
	if !r.Backend.Running() || cc.cluster.ReadCounters(ctx, r.BackendURL, "/counters", c) != nil {
		return nil
	}
	return c
}

// readService returns the counters of a running service, or nil if they cannot be read.
func (cc *counterCollector) readService(ctx context.Context, r *cluster.Runner) *service.Counts {
	c := &service.Counts{}
	if !r.Backend.Running() || cc.cluster.ReadCounters(ctx, r.BackendURL, "/counts", c) != nil {
		return nil
	}
	return c
}

// read returns the sum of the saved and the current counters.
func (cc *counterCollector) read(ctx context.Context) *BackendCounters {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	b := newBackendCounters()
	for _, r := range cc.cluster.Runners {
		cc.readRunner(ctx, b, r)
	}
	return b
}

func (cc *counterCollector) readRunner(ctx context.Context, b *BackendCounters, r *cluster.Runner) {
	name := r.Spec.Name
	for _, c := range cc.engines[name] {
		b.addEngine(name, c)
	}
	for _, c := range cc.services[name] {
		b.addService(name, c)
	}
	if r.Spec.Service != "" {
		if c := cc.readService(ctx, r); c != nil {
			b.addService(name, c)
		}
		return
	}
	if c := cc.readEngine(ctx, r); c != nil {
		b.addEngine(name, c)
	}
}
