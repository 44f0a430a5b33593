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
	// midKeyedCall is a moment at which claims are in the log and the calls of 300 ms are being run.
	midKeyedCall = 200 * time.Millisecond
	// keysPerCase makes it unlikely (1 in 59,000) that no key belongs to two of the service's three runners.
	keysPerCase = 10
)

// keyedFault is a fault around keyed calls that are sent through two entry hosts at once and again afterwards.
type keyedFault struct {
	name string
	// before acts before the calls are sent, during while they are run, heal after they are answered.
	before, during, heal func(c *cluster.Cluster)
	// first and again are outcomes of which at least one is expected: of the first calls and of those after the fault.
	first, again string
}

func services(c *cluster.Cluster) []*cluster.Runner {
	var out []*cluster.Runner
	for _, r := range c.Runners {
		if r.Spec.Service != "" {
			out = append(out, r)
		}
	}
	return out
}

// serviceMajority leaves one service runner alone.
func serviceMajority(c *cluster.Cluster) []*cluster.Runner { return services(c)[1:] }

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
		// A failure shows as an entry host that does not get ready.
		_ = c.StartEntry(context.Background(), e)
	}
}

// replaceDaemons kills every daemon and starts a new one in its place.
func replaceDaemons(c *cluster.Cluster) {
	killEntries(c)
	each(all, killAgent)(c)
	each(all, startAgent)(c)
	startEntries(c)
}

func keyedFaults() []keyedFault {
	healAgents := each(services, agentFaults(faultproxy.Faults{}))
	loseAnswers := each(services, backendSwitches(faults.Switches{LoseAnswerAfterEffect: 100}))
	keepAnswers := each(services, backendSwitches(faults.Switches{}))
	killServices, startServices := each(services, killAgent), each(services, startAgent)
	logUp := logFaults(faultproxy.Faults{})
	logLoses := logSwitches(faults.Switches{LoseAnswerAfterEffect: 8})
	return []keyedFault{
		{name: "none", first: "ran", again: "ran"},
		{name: "agents killed after the services acted", during: killServices, heal: startServices, first: "unknown", again: "unknown"},
		{name: "most agents killed after the services acted", during: each(serviceMajority, killAgent),
			heal: each(serviceMajority, startAgent), first: "unknown", again: "unknown"},
		{name: "agents killed before", before: each(serviceMajority, killAgent), heal: each(serviceMajority, startAgent),
			first: "ran", again: "ran"},
		{name: "services lose answers", before: loseAnswers, heal: keepAnswers, first: "unknown", again: "unknown"},
		{name: "entry hosts killed", during: killEntries, heal: startEntries, again: "ran"},
		{name: "entry to agent cut", during: each(services, cutAgent), first: "ran", again: "ran"},
		{name: "answers of agents held back", before: each(services, agentFaults(faultproxy.Faults{HoldToClient: true})),
			heal: healAgents, first: "unknown", again: "ran"},
		{name: "requests to agents delivered late", before: each(serviceMajority, agentFaults(faultproxy.Faults{HoldToTarget: true})),
			heal: healAgents, first: "unknown", again: "ran"},
		{name: "agent to service cut", during: each(services, cutBackend), first: "unknown", again: "unknown"},
		{name: "agents paused before and woken later", before: each(serviceMajority, pauseAgent), heal: each(serviceMajority, wakeAgent),
			first: "unknown", again: "ran"},
		{name: "agents paused during and woken later", during: each(services, pauseAgent), heal: each(services, wakeAgent),
			first: "unknown", again: "ran"},
		{name: "every daemon replaced", heal: replaceDaemons, first: "ran", again: "ran"},
		{name: "log down", before: logFaults(faultproxy.Faults{Refuse: true}), heal: logUp, first: "not_run", again: "ran"},
		{name: "log down while calls run", during: logFaults(faultproxy.Faults{Refuse: true}), heal: logUp, again: "ran"},
		{name: "log answers lost after the append", before: logLoses, heal: logSwitches(faults.Switches{}), first: "ran", again: "ran"},
		{name: "log answers held back", before: logFaults(faultproxy.Faults{HoldToClient: true}), heal: logUp, again: "ran"},
		{name: "appends delivered late", before: logFaults(faultproxy.Faults{HoldToTarget: true}), heal: logUp, again: "ran"},
		{name: "log answers lost and agents killed", before: logLoses, during: killServices,
			heal: both(startServices, logSwitches(faults.Switches{})), first: "unknown"},
		{name: "services lose answers and entry hosts killed", before: loseAnswers, during: killEntries,
			heal: both(startEntries, keepAnswers)},
		{name: "appends delivered late and agents killed", before: logFaults(faultproxy.Faults{HoldToTarget: true}), during: killServices,
			heal: both(logUp, startServices)},
		{name: "agents paused and log down", during: both(each(services, pauseAgent), logFaults(faultproxy.Faults{Refuse: true})),
			heal: both(logUp, each(services, wakeAgent)), first: "unknown"},
	}
}

// Guards against a second run of a call with an idempotency key.
func TestKeyedCallsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	spec := outcomeSpec()
	spec.EntrySettings["limits.request_timeout"] = "2s"
	c := start(t, spec)
	for _, fault := range keyedFaults() {
		t.Run(fault.name, func(t *testing.T) {
			keys := make([]string, keysPerCase)
			for i := range keys {
				keys[i] = uuid.NewString()
			}
			var first, again notes
			waitOwnRegion(t, c)
			do(c, fault.before)
			calls := sendKeys(c, &first, keys, 0, 1)
			time.Sleep(midKeyedCall)
			do(c, fault.during)
			calls.Wait()
			do(c, fault.heal)
			must(t, c.WaitReady(context.Background(), readyWait))
			sendKeys(c, &again, keys, 2).Wait()
			waitCopies(t, c)
			runs := countRuns(t, c)
			first.checkTold(t, runs)
			again.checkTold(t, runs)
			checkKeys(t, runs, keys, &first, &again)
			first.checkExpected(t, kindCall, fault.first)
			again.checkExpected(t, kindCall, fault.again)
		})
	}
}

// sendKeys sends a call for each key through each of the entry hosts at once.
func sendKeys(c *cluster.Cluster, n *notes, keys []string, entries ...int) *sync.WaitGroup {
	var calls sync.WaitGroup
	for _, key := range keys {
		for _, e := range entries {
			calls.Go(func() {
				ctx, cancel := limited(10 * time.Second)
				defer cancel()
				n.post(ctx, c.Entries[e], key, "slot of "+key)
			})
		}
	}
	return &calls
}

// checkKeys guards against keys that were run twice, and against two different answers to one key.
func checkKeys(t *testing.T, runs runCounts, keys []string, all ...*notes) {
	t.Helper()
	answers := map[string]string{}
	for _, n := range all {
		for _, one := range n.told {
			if one.status != http.StatusOK {
				continue
			}
			if earlier, ok := answers[one.key]; ok && earlier != one.text {
				t.Errorf("key %s was answered %q and %q", one.key, earlier, one.text)
			}
			answers[one.key] = one.text
		}
	}
	total := 0
	for _, key := range keys {
		total += runs.byKey[key]
		if runs.byKey[key] > 1 {
			t.Errorf("key %s was run %d times", key, runs.byKey[key])
		}
		if answers[key] != "" && runs.byKey[key] == 0 {
			t.Errorf("key %s was answered and never run", key)
		}
	}
	t.Logf("%d keys, %d runs, %d answered", len(keys), total, len(answers))
}

// Guards against single steps of the key protocol that are left out.
func TestKeyProtocol(t *testing.T) {
	t.Parallel()
	spec := outcomeSpec()
	spec.EntrySettings["limits.request_timeout"] = "10s"
	c := start(t, spec)
	t.Run("log down", func(t *testing.T) { checkLogDown(t, c) })
	t.Run("key of another request", func(t *testing.T) { checkKeyMismatch(t, c) })
	t.Run("winner paused for longer than it may run", func(t *testing.T) { checkPausedWinner(t, c) })
}

// checkLogDown guards against keyed calls that run without the log, and against an outage that stops anything else.
func checkLogDown(t *testing.T, c *cluster.Cluster) {
	logFaults(faultproxy.Faults{Refuse: true})(c)
	var keyed, others notes
	for _, e := range c.Entries {
		ctx, cancel := limited(12 * time.Second)
		if r := keyed.post(ctx, e, uuid.NewString(), "x"); r.status != http.StatusServiceUnavailable || r.outcome != "not_run" {
			t.Errorf("keyed call without the log: %s", r)
		}
		if r := others.post(ctx, e, "", "x"); r.status != http.StatusOK {
			t.Errorf("call without a key: %s", r)
		}
		if r := others.generate(ctx, e, "alpha", 8); r.status != http.StatusOK || !r.done {
			t.Errorf("generation: %s", r)
		}
		cancel()
	}
	logFaults(faultproxy.Faults{})(c)
	must(t, c.WaitReady(context.Background(), readyWait))
	runs := countRuns(t, c)
	keyed.checkTold(t, runs)
	others.checkTold(t, runs)
}

// checkKeyMismatch guards against a key that gives one request's answer to a different request.
func checkKeyMismatch(t *testing.T, c *cluster.Cluster) {
	var n notes
	key := uuid.NewString()
	ctx, cancel := limited(12 * time.Second)
	defer cancel()
	if r := n.post(ctx, c.Entries[0], key, "first"); r.status != http.StatusOK {
		t.Errorf("first: %s", r)
	}
	if r := n.post(ctx, c.Entries[1], key, "second"); r.code != "key_mismatch" || r.outcome != "not_run" {
		t.Errorf("another body: %s", r)
	}
	n.checkTold(t, countRuns(t, c))
}

// pauseTime exceeds the 5 s after the append in which a claim may be used.
const pauseTime = 5500 * time.Millisecond

// checkPausedWinner guards against an agent that wakes up and runs a request which its caller has given up long ago.
func checkPausedWinner(t *testing.T, c *cluster.Cluster) {
	var n notes
	keys := []string{uuid.NewString(), uuid.NewString(), uuid.NewString()}
	logFaults(faultproxy.Faults{HoldToClient: true})(c)
	calls := sendKeys(c, &n, keys, 0)
	time.Sleep(midKeyedCall)
	each(services, pauseAgent)(c)
	logFaults(faultproxy.Faults{})(c)
	time.Sleep(pauseTime)
	each(services, wakeAgent)(c)
	calls.Wait()
	n.checkExpected(t, kindCall, "not_run")
	var again notes
	sendKeys(c, &again, keys, 1).Wait()
	runs := countRuns(t, c)
	n.checkTold(t, runs)
	again.checkTold(t, runs)
	checkKeys(t, runs, keys, &n, &again)
	if seen := again.byOutcome(kindCall); seen["ran"] != len(keys) {
		t.Errorf("after the pause: %v", seen)
	}
}
