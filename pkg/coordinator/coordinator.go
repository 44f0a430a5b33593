package coordinator

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilferry.example/ferry/pkg/allowance"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/quarantine"
	"trefoilferry.example/ferry/pkg/serverlimit"
	"trefoilferry.example/ferry/pkg/serverspeed"
)

const (
	// planInterval is the time between two plans. A model load takes at least a few hundred milliseconds.
	planInterval = 100 * time.Millisecond
	// planPauseFactor is the pause after a plan in multiples of the time that it took, so that planning leaves most of
	// the processor to reports and requests.
	planPauseFactor = 4
	// maxReportAge is the age after which a daemon's report expires, and with it the waiting requests and the work
	// that it reported.
	maxReportAge = 2 * time.Second
)

// Coordinator places models and adapters on the runners while this daemon holds the lease. It is safe for concurrent
// use.
type Coordinator struct {
	config Config
	fleet  FleetSource
	lease  LeaseView
	client RunnerClient
	log    *eventlog.Logger

	mu      sync.Mutex
	active  bool
	runners map[string]*Runner
	demand  map[modelKey]*demandRate
	// adapterWaiting holds the number of requests that wait for an adapter, by daemon.
	adapterWaiting map[adapterKey]map[string]int
	daemons        map[string]*daemonReport
	// totalWork is the sum over the reports in daemons, by runner index.
	totalWork    map[uint32]runnerWork
	loadLimiters map[string]*loadLimiter
	// judge decides which requests crash runners.
	judge *quarantine.Judge
	// judgedAt is when it last decided.
	judgedAt time.Time
	// limits holds the requests to servers that name a limit.
	limits *serverlimit.Totals
	// ledger lends shared allowances in ledgerTenure by the limits of ledgerConfig.
	ledger       *allowance.Ledger
	ledgerTenure int64
	ledgerConfig *fleet.Config
	// priorUse is the use of allowances that the holder before has recorded.
	priorUse map[string][4]float64
	// suspended is set while nothing is lent, as far as a line of the log told so at suspendedAt.
	suspended   bool
	suspendedAt time.Duration
	// speeds passes on what runners state about their speed, by runner index.
	speeds      *serverspeed.Exchange
	viewVersion uint64
	// removed holds the runners that left the list, with the view version at which they left.
	removed map[string]removedRunner
	// indexTaken holds the indexes of the runners.
	indexTaken map[uint32]bool
	// digests holds the digests of the holdings at digestsVersion; nil until they are needed.
	digests        *digests
	digestsVersion uint64
	viewChanged    chan struct{}
	wake           chan struct{}
	background     sync.WaitGroup
}

type modelKey struct{ service, model string }

type adapterKey struct{ service, model, adapter string }

// removedRunner records that a runner left the list of servers.
type removedRunner struct{ version uint64 }

// daemonReport is the latest report of a daemon: the work that it has in progress, by runner index.
type daemonReport struct {
	receivedAt time.Time
	work       map[uint32]runnerWork
}

type runnerWork struct {
	requests     int
	promptTokens int
}

// New returns a coordinator; the caller starts it with Run.
func New(config Config, source FleetSource, lease LeaseView, client RunnerClient, log *eventlog.Logger) *Coordinator {
	if config.Board == nil {
		config.Board = quarantine.NewBoard()
	}
	c := &Coordinator{config: config, fleet: source, lease: lease, client: client, log: log,
		viewChanged: make(chan struct{}), wake: make(chan struct{}, 1)}
	c.reset()
	return c
}

// reset discards all state of a tenure. The view version continues, so that daemons notice the change.
func (c *Coordinator) reset() {
	c.runners = map[string]*Runner{}
	c.demand = map[modelKey]*demandRate{}
	c.adapterWaiting = map[adapterKey]map[string]int{}
	c.daemons = map[string]*daemonReport{}
	c.totalWork = map[uint32]runnerWork{}
	c.loadLimiters = map[string]*loadLimiter{}
	c.removed = map[string]removedRunner{}
	c.indexTaken = map[uint32]bool{}
	c.digests = nil
	c.judge = quarantine.NewJudge()
	c.limits = serverlimit.NewTotals()
	c.ledger, c.ledgerTenure, c.ledgerConfig = allowance.NewLedger(0), 0, nil
	c.speeds = serverspeed.NewExchange()
}

// Run plans until ctx ends and then waits for the orders in progress.
func (c *Coordinator) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	defer c.background.Wait()
	for {
		began := time.Now()
		c.step(ctx, began)
		// Reports of waiting requests ask for plans faster than a large fleet can be planned.
		sleep(ctx, planPauseFactor*time.Since(began))
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
	c.judgeCrashes(now)
	view := c.fleet.View()
	config := view.Config
	if config == nil {
		return
	}
	c.syncRunners(config, view.Servers)
	c.applyAvailability(now)
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

// syncRunners updates the runners from the list of servers. A new incarnation starts with no known state.
func (c *Coordinator) syncRunners(config *fleet.Config, servers map[string]fleet.Server) {
	for id := range servers {
		s := servers[id]
		if config.Services[s.Service].Engine == nil {
			continue
		}
		r, ok := c.runners[id]
		if !ok || r.Server.StartMillis != s.StartMillis {
			if ok {
				delete(c.indexTaken, r.index)
				c.speeds.Forget(r.index)
			}
			delete(c.removed, id)
			c.runners[id] = &Runner{id: id, index: c.freeIndex(id, s.StartMillis), Server: s, Region: c.config.RegionOf[s.FailureDomain], Models: s.Models,
				OnDisk: s.OnDisk, InMemory: s.InMemory, AdapterLastUsed: map[string]time.Time{}}
			c.markChanged(c.runners[id])
			continue
		}
		r.Server = s
	}
	for id := range c.runners {
		if _, ok := servers[id]; !ok {
			delete(c.indexTaken, c.runners[id].index)
			c.speeds.Forget(c.runners[id].index)
			delete(c.runners, id)
			c.markChanged(nil)
			c.removed[id] = removedRunner{version: c.viewVersion}
		}
	}
}

// maxIndex bounds the indexes of runners.
const maxIndex = 1 << 20

// freeIndex reserves and returns an index that no other runner has. It is a hash, so that successive holders mostly give
// a runner the same one and daemons keep theirs.
func (c *Coordinator) freeIndex(id string, startMillis int64) uint32 {
	index := uint32(xxhash.Sum64String(id+"/"+strconv.FormatInt(startMillis, 10)) % maxIndex)
	for c.indexTaken[index] {
		index = (index + 1) % maxIndex
	}
	c.indexTaken[index] = true
	return index
}

func (c *Coordinator) expireDaemons(now time.Time) {
	for name, d := range c.daemons {
		if now.Sub(d.receivedAt) <= maxReportAge {
			continue
		}
		c.setReport(name, nil)
		for _, rate := range c.demand {
			delete(rate.waiting, name)
		}
		for _, waiting := range c.adapterWaiting {
			delete(waiting, name)
		}
	}
}

// setReport replaces the report of a daemon, nil removes it, and updates the sum over all daemons.
func (c *Coordinator) setReport(daemon string, report *daemonReport) {
	if old, ok := c.daemons[daemon]; ok {
		for index, w := range old.work {
			sum := c.totalWork[index]
			sum.requests -= w.requests
			sum.promptTokens -= w.promptTokens
			if sum == (runnerWork{}) {
				delete(c.totalWork, index)
				continue
			}
			c.totalWork[index] = sum
		}
		delete(c.daemons, daemon)
	}
	if report == nil {
		return
	}
	c.daemons[daemon] = report
	for index, w := range report.work {
		sum := c.totalWork[index]
		sum.requests += w.requests
		sum.promptTokens += w.promptTokens
		c.totalWork[index] = sum
	}
}

// countRunning sums the requests in progress on each runner over all daemons.
func (c *Coordinator) countRunning() {
	for _, r := range c.runners {
		r.RunningRequests = c.totalWork[r.index].requests
	}
}

// markChanged advances the view version and wakes the reports that wait for it. r is the runner that changed; nil
// means that the set of runners changed.
func (c *Coordinator) markChanged(r *Runner) {
	c.viewVersion++
	if r != nil {
		r.version = c.viewVersion
	}
	close(c.viewChanged)
	c.viewChanged = make(chan struct{})
}

// requestPlan starts the next planning step without waiting for the interval.
func (c *Coordinator) requestPlan() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// serviceRunners returns the runners of a service ordered by id.
func (c *Coordinator) serviceRunners(service string) []*Runner {
	var out []*Runner
	for _, r := range c.runners {
		if r.Server.Service == service {
			out = append(out, r)
		}
	}
	sortRunners(out)
	return out
}
