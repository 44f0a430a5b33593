package coordinator

import (
	"context"
	"sync"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/fleet"
)

const (
	// planPeriod is the period of plans; a model load takes at least some hundred milliseconds.
	planPeriod = 100 * time.Millisecond
	// reportFreshness is the age of a daemon's report after which its waiting requests no longer count.
	reportFreshness = 2 * time.Second
)

// Coordinator places models and adapters while this daemon holds the lease.
type Coordinator struct {
	config  Config
	fleet   FleetSource
	lease   LeaseView
	control Control
	log     *eventlog.Logger

	mu      sync.Mutex
	active  bool
	runners map[string]*Runner
	demand  map[modelKey]*demandRate
	wanted  map[adapterKey]map[string]int
	daemons map[string]*daemonState
	rates   map[string]*loadRate
	version uint64
	// gone holds the runners that were dropped, with the version at which that happened.
	gone    map[string]goneRunner
	indexes uint32
	changed chan struct{}
	wake    chan struct{}
	orders  sync.WaitGroup
}

type modelKey struct{ service, model string }

type adapterKey struct{ service, model, adapter string }

// goneRunner is a runner that was dropped.
type goneRunner struct{ version uint64 }

// daemonState is the newest report of a daemon.
type daemonState struct {
	at   time.Time
	work map[uint32]peerWork
}

type peerWork struct {
	requests int
	tokens   int
}

// New returns a coordinator that is not running yet.
func New(config Config, source FleetSource, lease LeaseView, control Control, log *eventlog.Logger) *Coordinator {
	c := &Coordinator{config: config, fleet: source, lease: lease, control: control, log: log,
		changed: make(chan struct{}), wake: make(chan struct{}, 1)}
	c.reset()
	return c
}

// reset forgets everything that belongs to a tenure. The version goes on, so that daemons notice the change.
func (c *Coordinator) reset() {
	c.runners = map[string]*Runner{}
	c.demand = map[modelKey]*demandRate{}
	c.wanted = map[adapterKey]map[string]int{}
	c.daemons = map[string]*daemonState{}
	c.rates = map[string]*loadRate{}
	c.gone = map[string]goneRunner{}
}

// Run plans until ctx ends, and then waits for the orders in progress.
func (c *Coordinator) Run(ctx context.Context) {
	ticker := time.NewTicker(planPeriod)
	defer ticker.Stop()
	defer c.orders.Wait()
	for {
		c.step(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-ticker.C:
		}
	}
}

func (c *Coordinator) step(ctx context.Context, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.lease.Held()
	if !held {
		if c.active {
			c.active = false
			c.reset()
		}
		return
	}
	c.active = true
	view := c.fleet.View()
	config := view.Config
	if config == nil {
		return
	}
	c.syncRunners(config, view.Servers)
	c.expireDaemons(now)
	c.refreshRunners(ctx, now)
	c.countRunning()
	token, ok := c.lease.Token()
	if !ok {
		return
	}
	for name := range config.Services {
		service := config.Services[name]
		if service.Engine != nil {
			c.planModels(ctx, &service, token, now)
			c.planAdapters(ctx, &service, now)
		}
	}
}

// syncRunners follows the list of servers. A new incarnation starts without anything known of it.
func (c *Coordinator) syncRunners(config *fleet.Config, servers map[string]fleet.Server) {
	for id := range servers {
		s := servers[id]
		if config.Services[s.Service].Engine == nil {
			continue
		}
		r, ok := c.runners[id]
		if !ok || r.Server.BornMillis != s.BornMillis {
			c.indexes++
			delete(c.gone, id)
			c.runners[id] = &Runner{id: id, index: c.indexes, Server: s, Region: c.config.RegionOf[s.FailureDomain], Models: s.Models,
				OnDisk: s.OnDisk, InMem: s.InMemory, LastUse: map[string]time.Time{}}
			c.bump(c.runners[id])
			continue
		}
		r.Server = s
	}
	for id := range c.runners {
		if _, ok := servers[id]; !ok {
			delete(c.runners, id)
			c.bump(nil)
			c.gone[id] = goneRunner{version: c.version}
		}
	}
}

func (c *Coordinator) expireDaemons(now time.Time) {
	for name, d := range c.daemons {
		if now.Sub(d.at) <= reportFreshness {
			continue
		}
		delete(c.daemons, name)
		for _, rate := range c.demand {
			delete(rate.waiting, name)
		}
		for _, waiting := range c.wanted {
			delete(waiting, name)
		}
	}
}

// countRunning sums the requests in progress at each runner over all daemons.
func (c *Coordinator) countRunning() {
	total := map[uint32]int{}
	for _, d := range c.daemons {
		for index, w := range d.work {
			total[index] += w.requests
		}
	}
	for _, r := range c.runners {
		r.Running = total[r.index]
	}
}

// bump marks a change of what daemons are told, of one runner or of the set.
func (c *Coordinator) bump(r *Runner) {
	c.version++
	if r != nil {
		r.version = c.version
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// poke plans soon.
func (c *Coordinator) poke() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// runnersOf returns the runners of a service in the order of their ids.
func (c *Coordinator) runnersOf(service string) []*Runner {
	var out []*Runner
	for _, r := range c.runners {
		if r.Server.Service == service {
			out = append(out, r)
		}
	}
	sortRunners(out)
	return out
}
