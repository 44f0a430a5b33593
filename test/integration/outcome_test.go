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
	// callDuration is the time of one service call, callTokens the length of one generation of about the same time.
	callDuration = "300ms"
	callTokens   = 30
	// requestTimeout is the time in which a request is given up in the tests of outcomes.
	requestTimeout = "2500ms"
	// midCallDelay is a moment at which the requests are being run.
	midCallDelay = 120 * time.Millisecond
	// callersPerEntry is the number of requests of each kind that one entry host gets at once.
	callersPerEntry = 4
)

// outcomeFault is a fault that is injected around a batch of requests.
type outcomeFault struct {
	name string
	// before acts before the requests are sent, during while they are run, heal after they are answered.
	before, during, heal func(c *cluster.Cluster)
	// callOutcome and generationOutcome are outcomes of which at least one is expected, so that the fault is known to act.
	callOutcome, generationOutcome string
}

// firstRegionRunners are the runners of the first region.
func firstRegionRunners(c *cluster.Cluster) []*cluster.Runner {
	var out []*cluster.Runner
	for _, r := range c.Runners {
		if r.Spec.Region == regions[0] {
			out = append(out, r)
		}
	}
	return out
}

func allRunners(c *cluster.Cluster) []*cluster.Runner { return c.Runners }

// forEach applies an action to every selected runner.
func forEach(selected func(*cluster.Cluster) []*cluster.Runner, act func(*cluster.Cluster, *cluster.Runner)) func(*cluster.Cluster) {
	return func(c *cluster.Cluster) {
		for _, r := range selected(c) {
			act(c, r)
		}
	}
}

func pauseAgent(_ *cluster.Cluster, r *cluster.Runner)  { r.Agent.Pause() }
func resumeAgent(_ *cluster.Cluster, r *cluster.Runner) { r.Agent.Resume() }
func cutAgent(_ *cluster.Cluster, r *cluster.Runner)    { r.AgentProxy.Cut() }
func cutBackend(_ *cluster.Cluster, r *cluster.Runner)  { r.BackendProxy.Cut() }

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

func stopAgent(_ *cluster.Cluster, r *cluster.Runner) {
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

// inSequence runs two actions in order.
func inSequence(first, second func(*cluster.Cluster)) func(*cluster.Cluster) {
	return func(c *cluster.Cluster) {
		first(c)
		second(c)
	}
}

// waitCallsStayInRegion waits until every entry host uses the service runner of its region again, which it avoids for a moment
// after an earlier fault. Without the wait a fault could hit runners that get no calls.
func waitCallsStayInRegion(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	var waits sync.WaitGroup
	for i, e := range c.Entries {
		waits.Go(func() {
			err := c.WaitFor(context.Background(), 10*time.Second, "calls stay in the region", func() bool {
				return callIsServedBy(c, e, serviceRunners(c)[i])
			})
			if err != nil {
				t.Error(err)
			}
		})
	}
	waits.Wait()
}

// callIsServedBy sends a call and reports whether it was run at the runner.
func callIsServedBy(c *cluster.Cluster, e *cluster.Entry, r *cluster.Runner) bool {
	ctx, cancel := withTimeout(5 * time.Second)
	defer cancel()
	id := uuid.NewString()
	callAs(ctx, http.MethodGet, e.URL+"/services/booking/crews", "", id, "")
	var counts serviceCounts
	err := c.Counters(ctx, r.BackendURL, "/counts", &counts)
	return err == nil && counts.ByRequest[id] == 1
}

func outcomeFaults() []outcomeFault {
	healAgents := forEach(allRunners, agentFaults(faultproxy.Faults{}))
	healBackends := forEach(allRunners, backendFaults(faultproxy.Faults{}))
	return []outcomeFault{
		{name: "none", callOutcome: "ran", generationOutcome: "ran"},
		{name: "agents of a region killed before", before: forEach(firstRegionRunners, killAgent), heal: forEach(firstRegionRunners, startAgent),
			callOutcome: "ran", generationOutcome: "ran"},
		{name: "agents of a region killed during", during: forEach(firstRegionRunners, killAgent), heal: forEach(firstRegionRunners, startAgent),
			callOutcome: "unknown", generationOutcome: "ran"},
		{name: "all agents killed before", before: forEach(allRunners, killAgent), heal: forEach(allRunners, startAgent),
			callOutcome: "not_run", generationOutcome: "not_run"},
		{name: "all agents killed during", during: forEach(allRunners, killAgent), heal: forEach(allRunners, startAgent), callOutcome: "unknown"},
		{name: "entry to agent cut", during: forEach(allRunners, cutAgent), callOutcome: "unknown", generationOutcome: "ran"},
		{name: "entry to agent cut and refused", during: inSequence(forEach(allRunners, cutAgent), forEach(allRunners, agentFaults(faultproxy.Faults{Refuse: true}))),
			heal: healAgents, callOutcome: "unknown", generationOutcome: "unknown"},
		{name: "answers of agents held back", before: forEach(allRunners, agentFaults(faultproxy.Faults{HoldToClient: true})), heal: healAgents,
			callOutcome: "unknown", generationOutcome: "unknown"},
		{name: "requests to agents held back and delivered late", before: forEach(allRunners, agentFaults(faultproxy.Faults{HoldToTarget: true})),
			heal: healAgents, callOutcome: "unknown", generationOutcome: "unknown"},
		{name: "agents paused", before: forEach(allRunners, pauseAgent), heal: forEach(allRunners, resumeAgent), callOutcome: "unknown", generationOutcome: "unknown"},
		{name: "agent to backend server cut", during: forEach(allRunners, cutBackend), callOutcome: "unknown", generationOutcome: "ran"},
		{name: "agent to backend server refused", before: forEach(allRunners, backendFaults(faultproxy.Faults{Refuse: true})), heal: healBackends,
			callOutcome: "not_run"},
		{name: "answers of backend servers held back", before: forEach(allRunners, backendFaults(faultproxy.Faults{HoldToClient: true})),
			heal: healBackends, callOutcome: "unknown"},
		{name: "backend servers refuse", before: forEach(allRunners, backendSwitches(faults.Switches{Refuse: true})),
			heal: forEach(allRunners, backendSwitches(faults.Switches{})), callOutcome: "ran", generationOutcome: "not_run"},
		{name: "backend servers lose answers", before: forEach(allRunners, backendSwitches(faults.Switches{LoseAnswerAfterEffect: 100})),
			heal: forEach(allRunners, backendSwitches(faults.Switches{})), callOutcome: "unknown"},
		{name: "log down", before: logFaults(faultproxy.Faults{Refuse: true}), heal: logFaults(faultproxy.Faults{}),
			callOutcome: "ran", generationOutcome: "ran"},
		{name: "agents of a region leaving", during: forEach(firstRegionRunners, stopAgent), heal: forEach(firstRegionRunners, startAgent),
			callOutcome: "ran", generationOutcome: "ran"},
		{name: "a region cut while another one's agents are killed", before: forEach(firstRegionRunners, killAgent),
			during: forEach(allRunners, cutAgent), heal: forEach(firstRegionRunners, startAgent), callOutcome: "unknown"},
	}
}

// outcomeSpec returns a system whose requests take long enough to be interrupted and are given up soon.
func outcomeSpec() cluster.Spec {
	spec := smallSpec()
	for i := range spec.Runners {
		if spec.Runners[i].Service != "" {
			spec.Runners[i].Args = []string{"--delay", callDuration}
		}
	}
	spec.EntrySettings = map[string]string{
		"limits.request_timeout": requestTimeout, "limits.frame_timeout": "700ms", "limits.connect_timeout": "300ms",
	}
	return spec
}

// Guards against a not_run that was run and against a second run of a call that must not be repeated.
func TestOutcomesAreTrue(t *testing.T) {
	t.Parallel()
	c := start(t, outcomeSpec())
	for _, fault := range outcomeFaults() {
		t.Run(fault.name, func(t *testing.T) {
			var rec recorder
			waitCallsStayInRegion(t, c)
			apply(c, fault.before)
			requests := sendBatch(c, &rec)
			time.Sleep(midCallDelay)
			apply(c, fault.during)
			requests.Wait()
			apply(c, fault.heal)
			must(t, c.WaitReady(context.Background(), readyTimeout))
			waitCopies(t, c)
			rec.checkOutcomes(t, countRuns(t, c))
			rec.requireOutcome(t, kindCall, fault.callOutcome)
			rec.requireOutcome(t, kindGenerate, fault.generationOutcome)
		})
	}
}

func apply(c *cluster.Cluster, act func(*cluster.Cluster)) {
	if act != nil {
		act(c)
	}
}

// sendBatch sends calls and generations to all entry hosts at once.
func sendBatch(c *cluster.Cluster, rec *recorder) *sync.WaitGroup {
	var requests sync.WaitGroup
	for i := range callersPerEntry * len(c.Entries) {
		entry := c.Entries[i%len(c.Entries)]
		requests.Go(func() {
			ctx, cancel := withTimeout(20 * time.Second)
			defer cancel()
			rec.post(ctx, entry, "", "slot")
		})
		requests.Go(func() {
			ctx, cancel := withTimeout(20 * time.Second)
			defer cancel()
			rec.generate(ctx, entry, []string{"alpha", "beta"}[i%2], callTokens)
		})
	}
	return &requests
}

// requireOutcome guards against a fault that did not act, which would prove nothing.
func (rec *recorder) requireOutcome(t *testing.T, kind, outcome string) {
	t.Helper()
	counts := rec.countByOutcome(kind)
	if outcome != "" && counts[outcome] == 0 {
		t.Errorf("no %s was told %s: %v", kind, outcome, counts)
	}
	total := 0
	for count := range maps.Values(counts) {
		total += count
	}
	if total == 0 {
		t.Errorf("no %s was sent", kind)
	}
	t.Logf("%s: %v", kind, counts)
}
