package integration

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
)

// exitTimeout limits a planned stop: the longest request, the drain grace and a margin.
const exitTimeout = 10 * time.Second

// stopSlots is the batch size of the engines. TestAgentStopFinishesItsWork sends 6 streams each 500 ms, which last at most
// 4.5 s, so at most 54 run at once. The placement may put both models on the same two runners, and all streams then run
// on the one that is left.
const stopSlots = "64"

// stopSpec returns a system whose service calls last callDuration, long enough to be in progress at a stop. The drain
// grace of its entry hosts is 1 s; the tests send late requests during the first half of it.
func stopSpec(callDuration string) cluster.Spec {
	spec := smallSpec()
	// A fault proxy accepts connections while its target is down; the port of a stopped process does not.
	spec.UseFaultProxies = false
	for i := range spec.Runners {
		if spec.Runners[i].Service != "" {
			spec.Runners[i].BackendArgs = []string{"--delay", callDuration}
		} else {
			spec.Runners[i].BackendArgs = append([]string{"--max-running", stopSlots}, engineArgs...)
		}
	}
	spec.EntrySettings = map[string]string{"drain.grace": "1s"}
	return spec
}

// batch sends chat requests and service calls concurrently and records their results.
type batch struct {
	load
	recorder
	// tokens is the length of the responses.
	tokens int
}

// startStreams starts chat requests at an entry host. Every fourth of them is a non-streaming one.
func (b *batch) startStreams(e *cluster.Entry, count int) {
	for i := range count {
		b.wg.Go(func() { b.request(e, []string{"alpha", "beta"}[i%2], b.tokens, i%4 != 3) })
	}
}

// startCalls starts service calls without a key at an entry host.
func (b *batch) startCalls(e *cluster.Entry, count int) {
	for range count {
		b.wg.Go(func() {
			ctx, cancel := withTimeout(15 * time.Second)
			defer cancel()
			b.post(ctx, e, "", "slot")
		})
	}
}

// requireServed fails the test if a call did not succeed or if fewer than atLeast calls did.
func (b *batch) requireServed(t *testing.T, c *cluster.Cluster, atLeast int) {
	t.Helper()
	b.checkOutcomes(t, countRuns(t, c))
	served := 0
	for _, record := range b.records {
		if record.status != http.StatusOK || record.err != nil {
			t.Errorf("call %s: %s, want status 200", record.id, record.result)
			continue
		}
		served++
	}
	if served < atLeast {
		t.Errorf("calls served: %d, want at least %d", served, atLeast)
	}
}

// Guards against an entry host that, after SIGTERM, cuts off streams, refuses requests that the balancer still sends
// during the drain grace, or closes connections in use.
func TestEntryStopFinishesItsRequests(t *testing.T) {
	c := start(t, stopSpec(callDuration))
	for i, e := range c.Entries[:2] {
		t.Run(e.Spec.Name, func(t *testing.T) {
			b := batch{tokens: streamTokens}
			// The first requests leave kept-alive connections, which are used again after SIGTERM.
			b.startStreams(e, 8)
			b.wg.Wait()
			b.startStreams(e, 8)
			b.startCalls(e, 4)
			time.Sleep(100 * time.Millisecond)
			e.Process.Signal(syscall.SIGTERM)
			signalled := time.Now()
			late := 0
			for ; time.Since(signalled) < 500*time.Millisecond; late++ {
				b.startStreams(e, 2)
				b.startCalls(e, 1)
				time.Sleep(50 * time.Millisecond)
			}
			if isReady(http.DefaultClient, e) {
				t.Errorf("/readyz of %s after SIGTERM: ready, want not ready", e.Spec.Name)
			}
			if err := e.Process.Wait(exitTimeout); err != nil {
				t.Errorf("exit of entry host %s: %v, want no error", e.Spec.Name, err)
			}
			if took := time.Since(signalled); took < minStreamDuration {
				t.Errorf("entry host ended %s after SIGTERM, want at least the %s that a stream takes", took, minStreamDuration)
			}
			b.wg.Wait()
			b.requireAllIntact(t, 16+2*late)
			b.requireServed(t, c, 4+late)
			must(t, c.StartEntry(context.Background(), c.Entries[i]))
			must(t, c.WaitReady(context.Background(), readyTimeout))
		})
	}
}

// minStreamDuration is the shortest time in which an engine generates streamTokens.
const minStreamDuration = streamTokens * 10 * time.Millisecond

// Requests at agents last 3 s, longer than the 2 s that an agent allows for closing its listeners after its work is done.
const (
	longCallDuration = "3s"
	longStreamTokens = 300
)

// Guards against an agent that cuts off work in progress or accepts new work after SIGTERM.
func TestAgentStopFinishesItsWork(t *testing.T) {
	c := start(t, stopSpec(longCallDuration))
	for _, test := range []struct {
		name   string
		victim func(t *testing.T, b *batch) *cluster.Runner
	}{
		{"engine", func(t *testing.T, _ *batch) *cluster.Runner { return waitRunning(t, c) }},
		{"service", func(t *testing.T, _ *batch) *cluster.Runner { return waitServiceRunning(t, c) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := batch{tokens: longStreamTokens}
			resumes := scrapeEntries(t, c).resumes
			stop := b.keepSending(c)
			victim := test.victim(t, &b)
			time.Sleep(200 * time.Millisecond)
			if err := victim.Agent.Stop(exitTimeout); err != nil {
				t.Errorf("exit of the agent of %s: %v, want no error", victim.Spec.Name, err)
			}
			stop()
			b.requireAllIntact(t, 24)
			b.requireServed(t, c, 24)
			if added := scrapeEntries(t, c).resumes - resumes; added != 0 {
				t.Errorf("streams resumed during a planned stop: %.0f, want 0", added)
			}
			must(t, c.StartAgent(context.Background(), victim))
			must(t, c.WaitReady(context.Background(), readyTimeout))
			waitCopies(t, c)
		})
	}
}

// keepSending sends requests to all entry hosts until the returned function is called.
func (b *batch) keepSending(c *cluster.Cluster) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var sending sync.WaitGroup
	sending.Go(func() {
		for ctx.Err() == nil {
			for _, e := range c.Entries {
				b.startStreams(e, 2)
				b.startCalls(e, 2)
			}
			// More requests would exceed stopSlots on the remaining runner with a ready copy, which would then reject some.
			time.Sleep(500 * time.Millisecond)
		}
	})
	return func() {
		cancel()
		sending.Wait()
		b.wg.Wait()
	}
}

// waitServiceRunning waits until a service runs at least two calls and returns its runner.
func waitServiceRunning(t *testing.T, c *cluster.Cluster) *cluster.Runner {
	t.Helper()
	var found *cluster.Runner
	must(t, c.WaitFor(context.Background(), 10*time.Second, "a service runs at least two calls", func() bool {
		for _, r := range c.Runners {
			var counts serviceCounts
			if r.Spec.Service != "" && c.ReadCounters(context.Background(), r.BackendURL, "/counts", &counts) == nil && counts.InProgress > 1 {
				found = r
			}
		}
		return found != nil
	}))
	return found
}

// Guards against a request that fails while all daemons are restarted one by one under load.
func TestRollingRestartLosesNoRequest(t *testing.T) {
	spec := smallSpec()
	spec.UseFaultProxies = false
	c := start(t, spec)
	ctx := context.Background()
	balancer := startBalancer(c)
	defer balancer.close()
	chats := startLoad(loadShape{callers: 12, tokens: 20, pause: 5 * time.Millisecond}, balancer.pick)
	var calls batch
	stopCalls := calls.sendCalls(balancer)
	for _, e := range c.Entries {
		if err := e.Process.Stop(exitTimeout); err != nil {
			t.Errorf("exit of entry host %s: %v, want no error", e.Spec.Name, err)
		}
		must(t, c.StartEntry(ctx, e))
		must(t, c.WaitReady(ctx, readyTimeout))
		time.Sleep(2 * balancerPollInterval)
	}
	for _, r := range c.Runners {
		if err := r.Agent.Stop(exitTimeout); err != nil {
			t.Errorf("exit of the agent of %s: %v, want no error", r.Spec.Name, err)
		}
		must(t, c.StartAgent(ctx, r))
		must(t, c.WaitReady(ctx, readyTimeout))
		waitCopies(t, c)
	}
	chats.stop()
	stopCalls()
	chats.requireAllIntact(t, 100)
	calls.requireServed(t, c, 60)
}

// sendCalls sends service calls without a key through the balancer until the returned function is called.
func (b *batch) sendCalls(balancer *balancer) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	for i := range 6 {
		b.wg.Go(func() {
			for n := i; ctx.Err() == nil; n++ {
				limit, stop := withTimeout(15 * time.Second)
				b.post(limit, balancer.pick(n), "", "slot")
				stop()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		b.wg.Wait()
	}
}
