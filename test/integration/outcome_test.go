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
	// callDuration is the duration of one service call. A generation of callTokens tokens takes about as long.
	callDuration = "300ms"
	callTokens   = 30
	// requestTimeout is the time after which an entry host ends a request in the tests of outcomes.
	requestTimeout = "2500ms"
	// midCallDelay is the time after which the requests of a batch are in progress.
	midCallDelay = 120 * time.Millisecond
	// callersPerEntry is the number of concurrent requests of each kind at one entry host.
	callersPerEntry = 4
)

// outcomeFault is a fault that is injected around a batch of requests.
type outcomeFault struct {
	name string
	// before is called before the requests are sent, during while they are in progress and heal after all of them have
	// ended.
	before, during, heal func(c *cluster.Cluster)
	// callOutcome and generationOutcome are outcomes that at least one call or generation must have, which shows that the
	// fault took effect. Empty means any.
	callOutcome, generationOutcome string
}

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

// forEach returns an action that calls act for every selected runner.
func forEach(selected func(*cluster.Cluster) []*cluster.Runner, act func(*cluster.Cluster, *cluster.Runner)) func(*cluster.Cluster) {
	return func(c *cluster.Cluster) {
		for _, r := range selected(c) {
			act(c, r)
		}
	}
}

func pauseAgent(_ *cluster.Cluster, r *cluster.Runner)  { r.Agent.Pause() }
func resumeAgent(_ *cluster.Cluster, r *cluster.Runner) { r.Agent.Resume() }
func cutAgent(_ *cluster.Cluster, r *cluster.Runner)    { r.AgentProxy.ResetConnections() }
func cutBackend(_ *cluster.Cluster, r *cluster.Runner)  { r.BackendProxy.ResetConnections() }

// killAgent also makes the fault proxy refuse connections, as the port of a process that has ended does.
func killAgent(_ *cluster.Cluster, r *cluster.Runner) {
	r.Agent.Kill()
	_ = r.AgentProxy.SetFaults(faultproxy.Faults{Refuse: true})
}

func startAgent(c *cluster.Cluster, r *cluster.Runner) {
	_ = r.AgentProxy.SetFaults(faultproxy.Faults{})
	// If this fails, the agent does not become ready and WaitReady reports it.
	_ = c.StartAgent(context.Background(), r)
}

func stopAgent(_ *cluster.Cluster, r *cluster.Runner) {
	_ = r.Agent.Stop(10 * time.Second)
}

// agentFaults sets the faults of the proxies in front of the agents. Open connections stay open; cutAgent closes them.
func agentFaults(f faultproxy.Faults) func(*cluster.Cluster, *cluster.Runner) {
	return func(_ *cluster.Cluster, r *cluster.Runner) { _ = r.AgentProxy.SetFaults(f) }
}

// backendFaults sets the faults of the proxies in front of the backend servers and closes open connections if they
// refuse.
func backendFaults(f faultproxy.Faults) func(*cluster.Cluster, *cluster.Runner) {
	return func(_ *cluster.Cluster, r *cluster.Runner) {
		_ = r.BackendProxy.SetFaults(f)
		if f.Refuse {
			r.BackendProxy.ResetConnections()
		}
	}
}

func backendSwitches(s faults.Switches) func(*cluster.Cluster, *cluster.Runner) {
	return func(c *cluster.Cluster, r *cluster.Runner) { _ = c.SetFaults(context.Background(), r.BackendURL, s) }
}

// logFaults sets the faults of the proxy in front of the log. If it refuses connections, the open ones are closed as
// well, since a refusing proxy keeps them open.
func logFaults(f faultproxy.Faults) func(*cluster.Cluster) {
	return func(c *cluster.Cluster) {
		_ = c.LogProxy.SetFaults(f)
		if f.Refuse {
			c.LogProxy.ResetConnections()
		}
	}
}

// inSequence returns an action that calls first and then second.
func inSequence(first, second func(*cluster.Cluster)) func(*cluster.Cluster) {
	return func(c *cluster.Cluster) {
		first(c)
		second(c)
	}
}

// waitCallsStayInRegion waits until every entry host uses the service runner of its own region. An entry host avoids that
// runner for a short time after a fault; without the wait, the next fault could hit runners that get no calls.
func waitCallsStayInRegion(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	var wg sync.WaitGroup
	for i, e := range c.Entries {
		wg.Go(func() {
			err := c.WaitFor(context.Background(), 10*time.Second, "calls stay in the region", func() bool {
				return callIsServedBy(c, e, serviceRunners(c)[i])
			})
			if err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
}

// callIsServedBy sends a call and reports whether it ran at the runner.
func callIsServedBy(c *cluster.Cluster, e *cluster.Entry, r *cluster.Runner) bool {
	ctx, cancel := withTimeout(5 * time.Second)
	defer cancel()
	id := uuid.NewString()
	callAs(ctx, http.MethodGet, e.URL+"/services/booking/crews", "", id, "")
	var counts serviceCounts
	err := c.ReadCounters(ctx, r.BackendURL, "/counts", &counts)
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
		{name: "responses of agents held back", before: forEach(allRunners, agentFaults(faultproxy.Faults{HoldToClient: true})), heal: healAgents,
			callOutcome: "not_run", generationOutcome: "unknown"},
		{name: "responses of agents held back during", during: forEach(allRunners, agentFaults(faultproxy.Faults{HoldToClient: true})), heal: healAgents,
			callOutcome: "unknown"},
		{name: "requests to agents held back and delivered late", before: forEach(allRunners, agentFaults(faultproxy.Faults{HoldToTarget: true})),
			heal: healAgents, callOutcome: "not_run", generationOutcome: "unknown"},
		{name: "agents paused", before: forEach(allRunners, pauseAgent), heal: forEach(allRunners, resumeAgent), callOutcome: "not_run", generationOutcome: "unknown"},
		{name: "agent to backend server cut", during: forEach(allRunners, cutBackend), callOutcome: "unknown", generationOutcome: "ran"},
		{name: "agent to backend server refused", before: forEach(allRunners, backendFaults(faultproxy.Faults{Refuse: true})), heal: healBackends,
			callOutcome: "not_run"},
		{name: "responses of backend servers held back", before: forEach(allRunners, backendFaults(faultproxy.Faults{HoldToClient: true})),
			heal: healBackends, callOutcome: "unknown"},
		{name: "backend servers refuse", before: forEach(allRunners, backendSwitches(faults.Switches{Refuse: true})),
			heal: forEach(allRunners, backendSwitches(faults.Switches{})), callOutcome: "ran", generationOutcome: "not_run"},
		{name: "backend servers lose responses", before: forEach(allRunners, backendSwitches(faults.Switches{LoseAnswerAfterEffect: 100})),
			heal: forEach(allRunners, backendSwitches(faults.Switches{})), callOutcome: "unknown"},
		{name: "log down", before: logFaults(faultproxy.Faults{Refuse: true}), heal: logFaults(faultproxy.Faults{}),
			callOutcome: "ran", generationOutcome: "ran"},
		{name: "agents of a region leaving", during: forEach(firstRegionRunners, stopAgent), heal: forEach(firstRegionRunners, startAgent),
			callOutcome: "ran", generationOutcome: "ran"},
		{name: "a region cut while another one's agents are killed", before: forEach(firstRegionRunners, killAgent),
			during: forEach(allRunners, cutAgent), heal: forEach(firstRegionRunners, startAgent), callOutcome: "unknown"},
	}
}

// outcomeSpec returns a system whose requests take long enough to be interrupted, with short timeouts at the entry hosts.
func outcomeSpec() cluster.Spec {
	spec := smallSpec()
	for i := range spec.Runners {
		if spec.Runners[i].Service != "" {
			spec.Runners[i].BackendArgs = []string{"--delay", callDuration}
		}
	}
	spec.EntrySettings = map[string]string{
		"limits.request_timeout": requestTimeout, "limits.frame_timeout": "700ms", "limits.connect_timeout": "300ms",
	}
	return spec
}

// Guards against requests that ran although their caller got the outcome not_run, and against a second run of a call that
// is not idempotent.
func TestOutcomesMatchRuns(t *testing.T) {
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

// sendBatch starts calls and generations at all entry hosts, all concurrently.
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

// requireOutcome fails the test if no request of the kind was sent or none has the outcome. A fault without that outcome
// took no effect, so the test would show nothing. An empty outcome matches any.
func (rec *recorder) requireOutcome(t *testing.T, kind, outcome string) {
	t.Helper()
	counts := rec.countByOutcome(kind)
	if outcome != "" && counts[outcome] == 0 {
		t.Errorf("outcomes of kind %s: %v, want at least one %s", kind, counts, outcome)
	}
	total := 0
	for count := range maps.Values(counts) {
		total += count
	}
	if total == 0 {
		t.Errorf("requests of kind %s sent: 0, want at least 1", kind)
	}
	t.Logf("outcomes of kind %s: %v", kind, counts)
}
