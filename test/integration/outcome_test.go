package integration

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"trefoilferry.example/ferry/internal/cluster"
	"trefoilferry.example/ferry/pkg/faultproxy"
	"trefoilferry.example/ferry/pkg/standin/faults"
)

const (
	// callTime is the time of one service call, callTokens the length of one generation of about the same time.
	callTime   = "300ms"
	callTokens = 30
	// callDeadline is the time in which a request is given up in the tests of outcomes.
	callDeadline = "2500ms"
	// midCall is a moment at which the requests are being run.
	midCall = 120 * time.Millisecond
	// callersPerEntry is the number of requests of each kind that one entry host gets at once.
	callersPerEntry = 4
)

// outcomeFault is a fault that is injected around a batch of requests.
type outcomeFault struct {
	name string
	// before acts before the requests are sent, during while they are run, heal after they are answered.
	before, during, heal func(c *cluster.Cluster)
	// calls and generations are outcomes of which at least one is expected, so that the fault is known to act.
	calls, generations string
}

// victims are the runners of the first region.
func victims(c *cluster.Cluster) []*cluster.Runner {
	var out []*cluster.Runner
	for _, r := range c.Runners {
		if r.Spec.Region == regions[0] {
			out = append(out, r)
		}
	}
	return out
}

func all(c *cluster.Cluster) []*cluster.Runner { return c.Runners }

// each applies an action to every selected runner.
func each(selected func(*cluster.Cluster) []*cluster.Runner, act func(*cluster.Cluster, *cluster.Runner)) func(*cluster.Cluster) {
	return func(c *cluster.Cluster) {
		for _, r := range selected(c) {
			act(c, r)
		}
	}
}

func pauseAgent(_ *cluster.Cluster, r *cluster.Runner) { r.Agent.Pause() }
func wakeAgent(_ *cluster.Cluster, r *cluster.Runner)  { r.Agent.Resume() }
func cutAgent(_ *cluster.Cluster, r *cluster.Runner)   { r.AgentProxy.Cut() }
func cutBackend(_ *cluster.Cluster, r *cluster.Runner) { r.BackendProxy.Cut() }

// killAgent also makes the proxy refuse connects, as the port of a dead process does.
func killAgent(_ *cluster.Cluster, r *cluster.Runner) {
	r.Agent.Kill()
	_ = r.AgentProxy.Set(faultproxy.Faults{Refuse: true})
}

func startAgent(c *cluster.Cluster, r *cluster.Runner) {
	_ = r.AgentProxy.Set(faultproxy.Faults{})
	// A failure shows as an agent that does not get ready.
	_ = c.StartAgent(context.Background(), r)
}

func leave(_ *cluster.Cluster, r *cluster.Runner) {
	_ = r.Agent.Stop(10 * time.Second)
}

// agentFaults keeps open connections; cutAgent cuts them.
func agentFaults(f faultproxy.Faults) func(*cluster.Cluster, *cluster.Runner) {
	return func(_ *cluster.Cluster, r *cluster.Runner) { _ = r.AgentProxy.Set(f) }
}

func backendFaults(f faultproxy.Faults) func(*cluster.Cluster, *cluster.Runner) {
	return func(_ *cluster.Cluster, r *cluster.Runner) {
		_ = r.BackendProxy.Set(f)
		if f.Refuse {
			r.BackendProxy.Cut()
		}
	}
}

func backendSwitches(s faults.Switches) func(*cluster.Cluster, *cluster.Runner) {
	return func(c *cluster.Cluster, r *cluster.Runner) { _ = c.SetFaults(context.Background(), r.BackendURL, s) }
}

// logFaults also cuts open connections, since a refusing proxy keeps them.
func logFaults(f faultproxy.Faults) func(*cluster.Cluster) {
	return func(c *cluster.Cluster) {
		_ = c.LogProxy.Set(f)
		if f.Refuse {
			c.LogProxy.Cut()
		}
	}
}

// both runs two actions in order.
func both(first, second func(*cluster.Cluster)) func(*cluster.Cluster) {
	return func(c *cluster.Cluster) {
		first(c)
		second(c)
	}
}

// waitOwnRegion waits until every entry host uses the service runner of its region again, which it avoids for a moment
// after an earlier fault. Without the wait a fault could hit runners that get no calls.
func waitOwnRegion(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	var waits sync.WaitGroup
	for i, e := range c.Entries {
		waits.Go(func() {
			err := c.WaitFor(context.Background(), 10*time.Second, "calls stay in the region", func() bool {
				return servedBy(c, e, services(c)[i])
			})
			if err != nil {
				t.Error(err)
			}
		})
	}
	waits.Wait()
}

// servedBy sends a call and reports whether it was run at the runner.
func servedBy(c *cluster.Cluster, e *cluster.Entry, r *cluster.Runner) bool {
	ctx, cancel := limited(5 * time.Second)
	defer cancel()
	id := uuid.NewString()
	callAs(ctx, http.MethodGet, e.URL+"/services/booking/crews", "", id, "")
	var counts serviceCounts
	err := c.Counters(ctx, r.BackendURL, "/counts", &counts)
	return err == nil && counts.ByRequest[id] == 1
}

func outcomeFaults() []outcomeFault {
	healAgents := each(all, agentFaults(faultproxy.Faults{}))
	healBackends := each(all, backendFaults(faultproxy.Faults{}))
	return []outcomeFault{
		{name: "none", calls: "ran", generations: "ran"},
		{name: "agents of a region killed before", before: each(victims, killAgent), heal: each(victims, startAgent),
			calls: "ran", generations: "ran"},
		{name: "agents of a region killed during", during: each(victims, killAgent), heal: each(victims, startAgent),
			calls: "unknown", generations: "ran"},
		{name: "all agents killed before", before: each(all, killAgent), heal: each(all, startAgent),
			calls: "not_run", generations: "not_run"},
		{name: "all agents killed during", during: each(all, killAgent), heal: each(all, startAgent), calls: "unknown"},
		{name: "entry to agent cut", during: each(all, cutAgent), calls: "unknown", generations: "ran"},
		{name: "entry to agent cut and refused", during: both(each(all, cutAgent), each(all, agentFaults(faultproxy.Faults{Refuse: true}))),
			heal: healAgents, calls: "unknown", generations: "unknown"},
		{name: "answers of agents held back", before: each(all, agentFaults(faultproxy.Faults{HoldToClient: true})), heal: healAgents,
			calls: "unknown", generations: "unknown"},
		{name: "requests to agents held back and delivered late", before: each(all, agentFaults(faultproxy.Faults{HoldToTarget: true})),
			heal: healAgents, calls: "unknown", generations: "unknown"},
		{name: "agents paused", before: each(all, pauseAgent), heal: each(all, wakeAgent), calls: "unknown", generations: "unknown"},
		{name: "agent to backend server cut", during: each(all, cutBackend), calls: "unknown", generations: "ran"},
		{name: "agent to backend server refused", before: each(all, backendFaults(faultproxy.Faults{Refuse: true})), heal: healBackends,
			calls: "not_run"},
		{name: "answers of backend servers held back", before: each(all, backendFaults(faultproxy.Faults{HoldToClient: true})),
			heal: healBackends, calls: "unknown"},
		{name: "backend servers refuse", before: each(all, backendSwitches(faults.Switches{Refuse: true})),
			heal: each(all, backendSwitches(faults.Switches{})), calls: "ran", generations: "not_run"},
		{name: "backend servers lose answers", before: each(all, backendSwitches(faults.Switches{LoseAnswerAfterEffect: 100})),
			heal: each(all, backendSwitches(faults.Switches{})), calls: "unknown"},
		{name: "log down", before: logFaults(faultproxy.Faults{Refuse: true}), heal: logFaults(faultproxy.Faults{}),
			calls: "ran", generations: "ran"},
		{name: "agents of a region leaving", during: each(victims, leave), heal: each(victims, startAgent),
			calls: "ran", generations: "ran"},
		{name: "a region cut while another one's agents are killed", before: each(victims, killAgent),
			during: each(all, cutAgent), heal: each(victims, startAgent), calls: "unknown"},
	}
}

// outcomeSpec returns a system whose requests take long enough to be interrupted and are given up soon.
func outcomeSpec() cluster.Spec {
	spec := smallSpec()
	for i := range spec.Runners {
		if spec.Runners[i].Service != "" {
			spec.Runners[i].Args = []string{"--delay", callTime}
		}
	}
	spec.EntrySettings = map[string]string{
		"limits.request_timeout": callDeadline, "limits.frame_timeout": "700ms", "limits.connect_timeout": "300ms",
	}
	return spec
}

// Guards against a not_run that was run and against a second run of a call that must not be repeated.
func TestOutcomesAreTrue(t *testing.T) {
	t.Parallel()
	c := start(t, outcomeSpec())
	for _, fault := range outcomeFaults() {
		t.Run(fault.name, func(t *testing.T) {
			var n notes
			waitOwnRegion(t, c)
			do(c, fault.before)
			requests := sendBatch(c, &n)
			time.Sleep(midCall)
			do(c, fault.during)
			requests.Wait()
			do(c, fault.heal)
			must(t, c.WaitReady(context.Background(), readyWait))
			waitCopies(t, c)
			n.checkTold(t, countRuns(t, c))
			n.checkExpected(t, kindCall, fault.calls)
			n.checkExpected(t, kindGenerate, fault.generations)
		})
	}
}

func do(c *cluster.Cluster, act func(*cluster.Cluster)) {
	if act != nil {
		act(c)
	}
}

// sendBatch sends calls and generations to all entry hosts at once.
func sendBatch(c *cluster.Cluster, n *notes) *sync.WaitGroup {
	var requests sync.WaitGroup
	for i := range callersPerEntry * len(c.Entries) {
		entry := c.Entries[i%len(c.Entries)]
		requests.Go(func() {
			ctx, cancel := limited(20 * time.Second)
			defer cancel()
			n.post(ctx, entry, "", "slot")
		})
		requests.Go(func() {
			ctx, cancel := limited(20 * time.Second)
			defer cancel()
			n.generate(ctx, entry, []string{"alpha", "beta"}[i%2], callTokens)
		})
	}
	return &requests
}

// checkExpected guards against a fault that did not act, which would prove nothing.
func (n *notes) checkExpected(t *testing.T, kind, outcome string) {
	t.Helper()
	seen := n.byOutcome(kind)
	if outcome != "" && seen[outcome] == 0 {
		t.Errorf("no %s was told %s: %v", kind, outcome, seen)
	}
	total := 0
	for count := range maps.Values(seen) {
		total += count
	}
	if total == 0 {
		t.Errorf("no %s was sent", kind)
	}
	t.Logf("%s: %v", kind, seen)
}
