package integration

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
	"trefoilferry.example/ferry/pkg/faultproxy"
)

// oneWayFaults hold back the bytes of one direction of one hop, so that neither side sees an error.
func oneWayFaults() []streamFault {
	newFault := func(proxy func(*cluster.Runner) *faultproxy.Proxy, f faultproxy.Faults) streamFault {
		return streamFault{
			inject: func(_ *cluster.Cluster, r *cluster.Runner) { _ = proxy(r).SetFaults(f) },
			heal:   func(_ *cluster.Cluster, r *cluster.Runner) { _ = proxy(r).SetFaults(faultproxy.Faults{}) },
		}
	}
	agent := func(r *cluster.Runner) *faultproxy.Proxy { return r.AgentProxy }
	backend := func(r *cluster.Runner) *faultproxy.Proxy { return r.BackendProxy }
	toAgent := newFault(agent, faultproxy.Faults{HoldToTarget: true})
	toAgent.name = "one way cut, entry to agent"
	fromEngine := newFault(backend, faultproxy.Faults{HoldToClient: true})
	fromEngine.name = "one way cut, engine to agent"
	toEngine := newFault(backend, faultproxy.Faults{HoldToTarget: true})
	toEngine.name = "one way cut, agent to engine"
	return []streamFault{toAgent, fromEngine, toEngine}
}

// Guards against a non-streaming response that is truncated, mixed with another one, duplicated or meant for another
// request after any hop of its path failed.
func TestNonStreamingResponseSurvivesFaults(t *testing.T) {
	t.Parallel()
	spec := smallSpec()
	spec.EntrySettings = map[string]string{"limits.frame_timeout": "1s"}
	c := start(t, spec)
	for _, fault := range append(streamFaults(), oneWayFaults()...) {
		t.Run(fault.name, func(t *testing.T) {
			ctx, cancel := withTimeout(30 * time.Second)
			defer cancel()
			prompt := uniquePrompt()
			results := make(chan result, 1)
			go func() { results <- chat(ctx, c.Entries[0].URL, "alpha", prompt, streamTokens, false, nil) }()
			victim := waitRunning(t, c)
			// After 400 ms about a third of the response has arrived at the entry host.
			time.Sleep(400 * time.Millisecond)
			fault.inject(c, victim)
			r := <-results
			if fault.heal != nil {
				fault.heal(c, victim)
			}
			if !r.intact("alpha", "", prompt, streamTokens) {
				t.Errorf("response not intact: status %d code %s done %v finish %q err %v, %d bytes",
					r.status, r.code, r.done, r.finishReason, r.err, len(r.text))
			}
			must(t, c.WaitReady(context.Background(), readyTimeout))
			waitCopies(t, c)
		})
	}
}

// waitRunning waits until an engine runs a request and returns its runner.
func waitRunning(t *testing.T, c *cluster.Cluster) *cluster.Runner {
	t.Helper()
	must(t, c.WaitFor(context.Background(), 10*time.Second, "an engine runs a request", func() bool {
		return findRunning(c) != nil
	}))
	return requireRunning(t, c)
}

// cutSeed is the seed of the random faults. Another seed gives another sequence of faults.
const cutSeed = 7

// Guards against responses that contain text for another caller while connections fail at random.
func TestRandomCutsNeverMixResponses(t *testing.T) {
	spec := smallSpec()
	spec.EntrySettings = map[string]string{"limits.frame_timeout": "1s", "limits.request_timeout": "10s"}
	c := start(t, spec)
	ctx, cancel := withTimeout(5 * time.Second)
	defer cancel()
	var callers sync.WaitGroup
	var tally responseTally
	for i := range 24 {
		callers.Go(func() {
			for n := i; ctx.Err() == nil; n++ {
				tally.request(c.Entries[n%len(c.Entries)], []string{"alpha", "beta"}[n%2], n%3 != 0)
			}
		})
	}
	cuts := cutAtRandom(ctx, c, rand.New(rand.NewPCG(cutSeed, cutSeed)))
	callers.Wait()
	tally.report(t, cuts)
}

// cutAtRandom closes or resets the connections of random hops until ctx ends, and returns the number of faults.
func cutAtRandom(ctx context.Context, c *cluster.Cluster, random *rand.Rand) int {
	cuts := 0
	for ctx.Err() == nil {
		r := c.Runners[random.IntN(len(c.Runners))]
		proxy := []*faultproxy.Proxy{r.AgentProxy, r.BackendProxy}[random.IntN(2)]
		if random.IntN(4) == 0 {
			_ = proxy.SetFaults(faultproxy.Faults{ResetAfterBytes: 1 + random.IntN(4000), Resets: 2})
		} else {
			proxy.ResetConnections()
		}
		cuts++
		time.Sleep(time.Duration(20+random.IntN(60)) * time.Millisecond)
		_ = proxy.SetFaults(faultproxy.Faults{})
	}
	return cuts
}

// responseTally counts intact responses and those that failed with an explicit error, and describes all others in wrong.
type responseTally struct {
	mu     sync.Mutex
	intact int
	failed int
	wrong  []string
}

// cutTokens is the length of a response that takes about 400 ms.
const cutTokens = 40

func (a *responseTally) request(entry *cluster.Entry, model string, stream bool) {
	ctx, cancel := withTimeout(20 * time.Second)
	defer cancel()
	prompt := uniquePrompt()
	r := chat(ctx, entry.URL, model, prompt, cutTokens, stream, nil)
	a.mu.Lock()
	defer a.mu.Unlock()
	explicitError := r.err == nil && !r.done && (r.code != "" || r.streamErr != "")
	switch {
	case r.intact(model, "", prompt, cutTokens):
		a.intact++
	case explicitError && strings.HasPrefix(expectedText(model, "", prompt, cutTokens), r.text):
		a.failed++
	default:
		a.wrong = append(a.wrong, entry.Spec.Name+" "+model+" "+prompt+": "+r.String())
	}
}

func (a *responseTally) report(t *testing.T, cuts int) {
	t.Helper()
	t.Logf("seed %d: %d faults, %d intact responses, %d explicit errors, %d wrong responses", cutSeed, cuts, a.intact, a.failed, len(a.wrong))
	if cuts < 40 || a.intact < 100 {
		t.Errorf("faults: %d, intact responses: %d, want at least 40 and 100", cuts, a.intact)
	}
	for i, w := range a.wrong {
		if i < 10 {
			t.Errorf("response neither intact nor an explicit error: %s", w)
		}
	}
}
