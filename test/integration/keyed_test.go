package integration

import (
	"context"
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
	// midKeyedCallDelay is the time after which claims are in the log and the calls, of 300 ms each, are in progress.
	midKeyedCallDelay = 200 * time.Millisecond
	// keysPerFault is the number of keys for each fault. With 10 keys, the chance that none of them belongs to one of
	// the two runners in mostServiceRunners is 1 in 59,000.
	keysPerFault = 10
)

// keyedFault is a fault that is injected around keyed calls. Each key is sent through two entry hosts at once, and
// through a third one after the fault is healed.
type keyedFault struct {
	name string
	// before is called before the calls are sent, during while they are in progress and heal after all of them have
	// ended.
	before, during, heal func(c *cluster.Cluster)
	// firstOutcome is an outcome that at least one of the first calls must have, retryOutcome one that at least one of
	// the calls after the fault must have. Empty means any.
	firstOutcome, retryOutcome string
}

func serviceRunners(c *cluster.Cluster) []*cluster.Runner {
	var out []*cluster.Runner
	for _, r := range c.Runners {
		if r.Spec.Service != "" {
			out = append(out, r)
		}
	}
	return out
}

// mostServiceRunners returns all service runners but the first.
func mostServiceRunners(c *cluster.Cluster) []*cluster.Runner { return serviceRunners(c)[1:] }

func logSwitches(s faults.Switches) func(*cluster.Cluster) {
	return func(c *cluster.Cluster) { _ = c.SetFaults(context.Background(), c.LogURL, s) }
}

func killEntries(c *cluster.Cluster) {
	for _, e := range c.Entries {
		e.Process.Kill()
	}
}

func startEntries(c *cluster.Cluster) {
	for _, e := range c.Entries {
		// If this fails, the entry host does not become ready and WaitReady reports it.
		_ = c.StartEntry(context.Background(), e)
	}
}

// restartAllDaemons kills all daemons and then starts a new process for each.
func restartAllDaemons(c *cluster.Cluster) {
	killEntries(c)
	forEach(allRunners, killAgent)(c)
	forEach(allRunners, startAgent)(c)
	startEntries(c)
}

func keyedFaults() []keyedFault {
	healAgents := forEach(serviceRunners, agentFaults(faultproxy.Faults{}))
	loseResponses := forEach(serviceRunners, backendSwitches(faults.Switches{LoseAnswerAfterEffect: 100}))
	keepResponses := forEach(serviceRunners, backendSwitches(faults.Switches{}))
	killServices, startServices := forEach(serviceRunners, killAgent), forEach(serviceRunners, startAgent)
	logUp := logFaults(faultproxy.Faults{})
	logLosesResponses := logSwitches(faults.Switches{LoseAnswerAfterEffect: 8})
	return []keyedFault{
		{name: "none", firstOutcome: "ran", retryOutcome: "ran"},
		{name: "agents killed after the services acted", during: killServices, heal: startServices, firstOutcome: "unknown", retryOutcome: "unknown"},
		{name: "most agents killed after the services acted", during: forEach(mostServiceRunners, killAgent),
			heal: forEach(mostServiceRunners, startAgent), firstOutcome: "unknown", retryOutcome: "unknown"},
		{name: "agents killed before", before: forEach(mostServiceRunners, killAgent), heal: forEach(mostServiceRunners, startAgent),
			firstOutcome: "ran", retryOutcome: "ran"},
		{name: "services lose responses", before: loseResponses, heal: keepResponses, firstOutcome: "unknown", retryOutcome: "unknown"},
		{name: "entry hosts killed", during: killEntries, heal: startEntries, retryOutcome: "ran"},
		{name: "entry to agent cut", during: forEach(serviceRunners, cutAgent), firstOutcome: "ran", retryOutcome: "ran"},
		{name: "responses of agents held back", before: forEach(serviceRunners, agentFaults(faultproxy.Faults{HoldToClient: true})),
			heal: healAgents, firstOutcome: "not_run", retryOutcome: "ran"},
		{name: "responses of agents held back while calls run", during: forEach(serviceRunners, agentFaults(faultproxy.Faults{HoldToClient: true})),
			heal: healAgents, firstOutcome: "unknown", retryOutcome: "ran"},
		{name: "requests to agents delivered late", before: forEach(mostServiceRunners, agentFaults(faultproxy.Faults{HoldToTarget: true})),
			heal: healAgents, firstOutcome: "not_run", retryOutcome: "ran"},
		{name: "agent to service cut", during: forEach(serviceRunners, cutBackend), firstOutcome: "unknown", retryOutcome: "unknown"},
		{name: "agents paused before and resumed later", before: forEach(mostServiceRunners, pauseAgent), heal: forEach(mostServiceRunners, resumeAgent),
			firstOutcome: "not_run", retryOutcome: "ran"},
		{name: "agents paused during and resumed later", during: forEach(serviceRunners, pauseAgent), heal: forEach(serviceRunners, resumeAgent),
			firstOutcome: "unknown", retryOutcome: "ran"},
		{name: "every daemon replaced", heal: restartAllDaemons, firstOutcome: "ran", retryOutcome: "ran"},
		{name: "log down", before: logFaults(faultproxy.Faults{Refuse: true}), heal: logUp, firstOutcome: "not_run", retryOutcome: "ran"},
		{name: "log down while calls run", during: logFaults(faultproxy.Faults{Refuse: true}), heal: logUp, retryOutcome: "ran"},
		{name: "log responses lost after the append", before: logLosesResponses, heal: logSwitches(faults.Switches{}), firstOutcome: "ran", retryOutcome: "ran"},
		{name: "log responses held back", before: logFaults(faultproxy.Faults{HoldToClient: true}), heal: logUp, retryOutcome: "ran"},
		{name: "appends delivered late", before: logFaults(faultproxy.Faults{HoldToTarget: true}), heal: logUp, retryOutcome: "ran"},
		{name: "log responses lost and agents killed", before: logLosesResponses, during: killServices,
			heal: inSequence(startServices, logSwitches(faults.Switches{})), firstOutcome: "unknown"},
		{name: "services lose responses and entry hosts killed", before: loseResponses, during: killEntries,
			heal: inSequence(startEntries, keepResponses)},
		{name: "appends delivered late and agents killed", before: logFaults(faultproxy.Faults{HoldToTarget: true}), during: killServices,
			heal: inSequence(logUp, startServices)},
		{name: "agents paused and log down", during: inSequence(forEach(serviceRunners, pauseAgent), logFaults(faultproxy.Faults{Refuse: true})),
			heal: inSequence(logUp, forEach(serviceRunners, resumeAgent)), firstOutcome: "unknown"},
	}
}

// Guards against a call that runs twice although it has an idempotency key: two entry hosts or a later retry may send
// it to different runners, and a fault may hide the claim or the response of the first run.
func TestKeyedCallsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	spec := outcomeSpec()
	spec.EntrySettings["limits.request_timeout"] = "2s"
	c := start(t, spec)
	for _, fault := range keyedFaults() {
		t.Run(fault.name, func(t *testing.T) {
			keys := make([]string, keysPerFault)
			for i := range keys {
				keys[i] = uuid.NewString()
			}
			var first, retries recorder
			waitCallsStayInRegion(t, c)
			apply(c, fault.before)
			calls := sendKeys(c, &first, keys, 0, 1)
			time.Sleep(midKeyedCallDelay)
			apply(c, fault.during)
			calls.Wait()
			apply(c, fault.heal)
			must(t, c.WaitReady(context.Background(), readyTimeout))
			sendKeys(c, &retries, keys, 2).Wait()
			waitCopies(t, c)
			runs := countRuns(t, c)
			first.checkOutcomes(t, runs)
			retries.checkOutcomes(t, runs)
			checkKeys(t, runs, keys, &first, &retries)
			first.requireOutcome(t, kindCall, fault.firstOutcome)
			retries.requireOutcome(t, kindCall, fault.retryOutcome)
		})
	}
}

// sendKeys starts a call for each key through each of the entry hosts, all concurrently. entries are indexes in
// c.Entries.
func sendKeys(c *cluster.Cluster, rec *recorder, keys []string, entries ...int) *sync.WaitGroup {
	var calls sync.WaitGroup
	for _, key := range keys {
		for _, e := range entries {
			calls.Go(func() {
				ctx, cancel := withTimeout(10 * time.Second)
				defer cancel()
				rec.post(ctx, c.Entries[e], key, "slot of "+key)
			})
		}
	}
	return &calls
}

// checkKeys fails the test if a key ran twice, got two different responses, or got a response without a run.
func checkKeys(t *testing.T, runs runCounts, keys []string, recorders ...*recorder) {
	t.Helper()
	responses := map[string]string{}
	for _, rec := range recorders {
		for _, record := range rec.records {
			if record.status != http.StatusOK {
				continue
			}
			if earlier, ok := responses[record.key]; ok && earlier != record.text {
				t.Errorf("responses to key %s differ: %q and %q", record.key, earlier, record.text)
			}
			responses[record.key] = record.text
		}
	}
	total := 0
	for _, key := range keys {
		total += runs.byKey[key]
		if runs.byKey[key] > 1 {
			t.Errorf("runs of key %s: %d, want at most 1", key, runs.byKey[key])
		}
		if responses[key] != "" && runs.byKey[key] == 0 {
			t.Errorf("runs of key %s, which got a response: 0, want 1", key)
		}
	}
	t.Logf("%d keys, %d runs, %d keys with a response", len(keys), total, len(responses))
}

// Guards against an implementation that skips a step of the idempotency key protocol.
func TestKeyProtocol(t *testing.T) {
	t.Parallel()
	spec := outcomeSpec()
	spec.EntrySettings["limits.request_timeout"] = "10s"
	c := start(t, spec)
	t.Run("log down", func(t *testing.T) { checkLogDown(t, c) })
	t.Run("key of another request", func(t *testing.T) { checkKeyMismatch(t, c) })
	t.Run("claim holder paused for longer than the claim is valid", func(t *testing.T) { checkPausedClaimHolder(t, c) })
}

// checkLogDown guards against keyed calls that run while the log is down, and against a log outage that also stops calls
// without a key or generations.
func checkLogDown(t *testing.T, c *cluster.Cluster) {
	logFaults(faultproxy.Faults{Refuse: true})(c)
	var keyed, unkeyed recorder
	for _, e := range c.Entries {
		ctx, cancel := withTimeout(12 * time.Second)
		if r := keyed.post(ctx, e, uuid.NewString(), "x"); r.status != http.StatusServiceUnavailable || r.outcome != "not_run" {
			t.Errorf("keyed call while the log is down: %s, want status 503 and outcome not_run", r)
		}
		if r := unkeyed.post(ctx, e, "", "x"); r.status != http.StatusOK {
			t.Errorf("call without a key while the log is down: %s, want status 200", r)
		}
		if r := unkeyed.generate(ctx, e, "alpha", 8); r.status != http.StatusOK || !r.done {
			t.Errorf("generation while the log is down: %s, want status 200 and done", r)
		}
		cancel()
	}
	logFaults(faultproxy.Faults{})(c)
	must(t, c.WaitReady(context.Background(), readyTimeout))
	runs := countRuns(t, c)
	keyed.checkOutcomes(t, runs)
	unkeyed.checkOutcomes(t, runs)
}

// checkKeyMismatch guards against a key that returns the response of one request to a request with another body.
func checkKeyMismatch(t *testing.T, c *cluster.Cluster) {
	var rec recorder
	key := uuid.NewString()
	ctx, cancel := withTimeout(12 * time.Second)
	defer cancel()
	if r := rec.post(ctx, c.Entries[0], key, "first"); r.status != http.StatusOK {
		t.Errorf("first call with the key: %s, want status 200", r)
	}
	if r := rec.post(ctx, c.Entries[1], key, "second"); r.code != "key_mismatch" || r.outcome != "not_run" {
		t.Errorf("call with the same key and another body: %s, want code key_mismatch and outcome not_run", r)
	}
	rec.checkOutcomes(t, countRuns(t, c))
}

// pauseBeyondClaim is longer than the 5 s after its append during which a claim is valid.
const pauseBeyondClaim = 5500 * time.Millisecond

// checkPausedClaimHolder guards against an agent that claims a key, is paused until after the claim has expired and
// then runs the call, whose caller no longer waits for it.
func checkPausedClaimHolder(t *testing.T, c *cluster.Cluster) {
	var rec recorder
	keys := []string{uuid.NewString(), uuid.NewString(), uuid.NewString()}
	logFaults(faultproxy.Faults{HoldToClient: true})(c)
	calls := sendKeys(c, &rec, keys, 0)
	time.Sleep(midKeyedCallDelay)
	forEach(serviceRunners, pauseAgent)(c)
	logFaults(faultproxy.Faults{})(c)
	time.Sleep(pauseBeyondClaim)
	forEach(serviceRunners, resumeAgent)(c)
	calls.Wait()
	rec.requireOutcome(t, kindCall, "not_run")
	var retries recorder
	sendKeys(c, &retries, keys, 1).Wait()
	runs := countRuns(t, c)
	rec.checkOutcomes(t, runs)
	retries.checkOutcomes(t, runs)
	checkKeys(t, runs, keys, &rec, &retries)
	if seen := retries.countByOutcome(kindCall); seen["ran"] != len(keys) {
		t.Errorf("outcomes of the retries after the pause: %v, want %d times ran", seen, len(keys))
	}
}
