package integration

import (
	"context"
	"testing"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
	"trefoilferry.example/ferry/pkg/faultproxy"
	"trefoilferry.example/ferry/pkg/standin/faults"
)

const (
	streamTokens = 120
	// faultAfterBytes is the length of the received text after which a fault is injected into a stream.
	faultAfterBytes = 200
)

// streamFault is a fault that is injected while a caller reads a stream.
type streamFault struct {
	name string
	// inject is called with the runner that serves the stream.
	inject func(c *cluster.Cluster, r *cluster.Runner)
	// heal ends the fault. It is nil for faults that end by themselves.
	heal func(c *cluster.Cluster, r *cluster.Runner)
}

func streamFaults() []streamFault {
	return []streamFault{
		{name: "engine killed",
			inject: func(_ *cluster.Cluster, r *cluster.Runner) { r.Backend.Kill() },
			heal:   func(c *cluster.Cluster, r *cluster.Runner) { _ = c.StartBackend(context.Background(), r) }},
		{name: "agent killed",
			inject: func(_ *cluster.Cluster, r *cluster.Runner) { r.Agent.Kill() },
			heal:   func(c *cluster.Cluster, r *cluster.Runner) { _ = c.StartAgent(context.Background(), r) }},
		{name: "agent paused",
			inject: func(_ *cluster.Cluster, r *cluster.Runner) { r.Agent.Pause() },
			heal:   func(_ *cluster.Cluster, r *cluster.Runner) { r.Agent.Resume() }},
		{name: "entry to agent cut",
			inject: func(_ *cluster.Cluster, r *cluster.Runner) { r.AgentProxy.ResetConnections() }},
		{name: "responses of the agent held back",
			inject: func(_ *cluster.Cluster, r *cluster.Runner) {
				_ = r.AgentProxy.SetFaults(faultproxy.Faults{HoldToClient: true})
			},
			heal: func(_ *cluster.Cluster, r *cluster.Runner) { _ = r.AgentProxy.SetFaults(faultproxy.Faults{}) }},
		{name: "agent to engine cut",
			inject: func(_ *cluster.Cluster, r *cluster.Runner) { r.BackendProxy.ResetConnections() }},
	}
}

// Guards against a response that is truncated, mixed with another one, duplicated or meant for another request after the
// stream was resumed because any hop of its path failed.
func TestBrokenStreamIsResumedIntact(t *testing.T) {
	spec := smallSpec()
	spec.EntrySettings = map[string]string{"limits.frame_timeout": "1s"}
	c := start(t, spec)
	for _, fault := range streamFaults() {
		t.Run(fault.name, func(t *testing.T) {
			var victim *cluster.Runner
			ctx, cancel := withTimeout(30 * time.Second)
			defer cancel()
			prompt := uniquePrompt()
			r := chat(ctx, c.Entries[0].URL, "alpha", prompt, streamTokens, true, func(total string) {
				if victim == nil && len(total) > faultAfterBytes {
					victim = requireRunning(t, c)
					fault.inject(c, victim)
				}
			})
			if victim != nil && fault.heal != nil {
				fault.heal(c, victim)
			}
			if victim == nil {
				t.Fatalf("no fault was injected, since the stream ended before %d bytes of text: %+v", faultAfterBytes+1, r)
			}
			if !r.intact("alpha", "", prompt, streamTokens) {
				t.Errorf("response not intact: status %d done %v finish %q stream error %q err %v, %d bytes",
					r.status, r.done, r.finishReason, r.streamErr, r.err, len(r.text))
			}
			must(t, c.WaitReady(context.Background(), readyTimeout))
			waitCopies(t, c)
		})
	}
}

// Guards against a defective stream of an engine that reaches the caller as a complete response.
func TestDefectiveEngineStreamIsNotDelivered(t *testing.T) {
	c := start(t, smallSpec())
	for _, test := range []struct {
		name     string
		switches faults.Switches
	}{
		{"stream breaks once", faults.Switches{BreakStreamAfterTokens: 10, BreakStreams: 1}},
		{"end marker is missing once", faults.Switches{OmitDone: 1}},
		{"response has another request's id once", faults.Switches{WrongRequestID: 1}},
		{"stream has another request's chunk once", faults.Switches{WrongChunkID: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			setAllEngines(t, c, test.switches)
			defer setAllEngines(t, c, faults.Switches{})
			ctx, cancel := withTimeout(20 * time.Second)
			defer cancel()
			prompt := uniquePrompt()
			r := chat(ctx, c.Entries[1].URL, "beta", prompt, 40, true, nil)
			if r.done && !r.intact("beta", "", prompt, 40) {
				t.Errorf("defective response delivered as complete: %+v", r)
			}
			if !r.done && r.streamErr == "" && r.code == "" {
				t.Errorf("stream ended with neither the end marker nor an error: %+v", r)
			}
		})
	}
}

// Guards against a connection that is reused after a cancelled request and delivers the rest of its response to another
// request.
func TestCancelledStreamDoesNotAffectNextRequest(t *testing.T) {
	c := start(t, smallSpec())
	for range 30 {
		ctx, cancel := context.WithCancel(context.Background())
		chat(ctx, c.Entries[0].URL, "alpha", uniquePrompt(), streamTokens, true, func(string) { cancel() })
		cancel()
		next, stop := withTimeout(10 * time.Second)
		prompt := uniquePrompt()
		if r := chat(next, c.Entries[0].URL, "alpha", prompt, 8, false, nil); !r.intact("alpha", "", prompt, 8) {
			t.Errorf("response after a cancelled request not intact: %+v", r)
		}
		stop()
	}
	must(t, c.WaitFor(context.Background(), 5*time.Second, "at least 25 cancellations reached the engines", func() bool {
		return totalCounters(t, c).Cancelled >= 25
	}))
}

// requireRunning returns a runner whose engine runs a request now. If there is none, the test fails and any runner is
// returned.
func requireRunning(t *testing.T, c *cluster.Cluster) *cluster.Runner {
	t.Helper()
	if r := findRunning(c); r != nil {
		return r
	}
	t.Error("engines that run a request: 0, want at least 1")
	return c.Runners[0]
}

// findRunning returns a runner whose engine runs a request now, or nil.
func findRunning(c *cluster.Cluster) *cluster.Runner {
	for _, r := range c.Runners {
		if r.Spec.Service != "" {
			continue
		}
		var running struct {
			Running int `json:"running"`
		}
		if c.ReadCounters(context.Background(), r.BackendURL, "/counters", &running) == nil && running.Running > 0 {
			return r
		}
	}
	return nil
}

func setAllEngines(t *testing.T, c *cluster.Cluster, switches faults.Switches) {
	t.Helper()
	for _, r := range c.Runners {
		if r.Spec.Service == "" {
			must(t, c.SetFaults(context.Background(), r.BackendURL, switches))
		}
	}
}

// totalCounters returns the sums of the counters of all engines that respond.
func totalCounters(t *testing.T, c *cluster.Cluster) engineCounters {
	t.Helper()
	total := engineCounters{ByRequest: map[string]int{}}
	for _, r := range c.Runners {
		var counters engineCounters
		if r.Spec.Service != "" || c.ReadCounters(context.Background(), r.BackendURL, "/counters", &counters) != nil {
			continue
		}
		total.Overdraws += counters.Overdraws
		total.Loads += counters.Loads
		total.Started += counters.Started
		total.Cancelled += counters.Cancelled
		for id, n := range counters.ByRequest {
			total.ByRequest[id] += n
		}
	}
	return total
}

// waitCopies waits until the models alpha and beta have their floor copies again.
func waitCopies(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	must(t, c.WaitFor(context.Background(), placementTimeout, "floor copies are ready again", func() bool {
		copies, err := c.ReadyCopies(context.Background())
		return err == nil && copies["alpha"] >= 2 && copies["beta"] >= 2
	}))
}
