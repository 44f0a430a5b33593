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
	// faultAfterBytes is the length of text after which a fault is injected into a stream, in bytes.
	faultAfterBytes = 200
)

// streamFault is a fault that is injected while a caller reads a stream.
type streamFault struct {
	name string
	// inject acts on the runner that serves the stream.
	inject func(c *cluster.Cluster, r *cluster.Runner)
	// heal undoes the fault, if anything is left of it.
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
			inject: func(_ *cluster.Cluster, r *cluster.Runner) { r.AgentProxy.Cut() }},
		{name: "answers of the agent held back",
			inject: func(_ *cluster.Cluster, r *cluster.Runner) {
				_ = r.AgentProxy.Set(faultproxy.Faults{HoldToClient: true})
			},
			heal: func(_ *cluster.Cluster, r *cluster.Runner) { _ = r.AgentProxy.Set(faultproxy.Faults{}) }},
		{name: "agent to engine cut",
			inject: func(_ *cluster.Cluster, r *cluster.Runner) { r.BackendProxy.Cut() }},
	}
}

// Guards against an answer that is short, spliced, doubled or foreign after the stream broke on any hop.
func TestBrokenStreamIsResumedWhole(t *testing.T) {
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
				t.Fatalf("no fault was injected: %+v", r)
			}
			if !r.intact("alpha", "", prompt, streamTokens) {
				t.Errorf("answer is not whole: status %d done %v finish %q stream error %q err %v, %d bytes",
					r.status, r.done, r.finishReason, r.streamErr, r.err, len(r.text))
			}
			must(t, c.WaitReady(context.Background(), readyTimeout))
			waitCopies(t, c)
		})
	}
}

// Guards against an engine's defective stream that reaches the caller as a complete answer.
func TestDefectiveEngineStreamIsNotDelivered(t *testing.T) {
	c := start(t, smallSpec())
	for _, test := range []struct {
		name     string
		switches faults.Switches
	}{
		{"stream breaks once", faults.Switches{BreakStreamAfterTokens: 10, BreakStreams: 1}},
		{"end marker is missing once", faults.Switches{OmitDone: 1}},
		{"answer carries another request's id once", faults.Switches{WrongRequestID: 1}},
		{"stream carries another request's chunk once", faults.Switches{WrongChunkID: 1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			setAllEngines(t, c, test.switches)
			defer setAllEngines(t, c, faults.Switches{})
			ctx, cancel := withTimeout(20 * time.Second)
			defer cancel()
			prompt := uniquePrompt()
			r := chat(ctx, c.Entries[1].URL, "beta", prompt, 40, true, nil)
			if r.done && !r.intact("beta", "", prompt, 40) {
				t.Errorf("a defective answer was delivered as complete: %+v", r)
			}
			if !r.done && r.streamErr == "" && r.code == "" {
				t.Errorf("the stream ended with neither a whole answer nor an error: %+v", r)
			}
		})
	}
}

// Guards against a connection that is reused after a cancel and hands the rest of one answer to another request.
func TestCancelledStreamsLeaveNoTrace(t *testing.T) {
	c := start(t, smallSpec())
	for range 30 {
		ctx, cancel := context.WithCancel(context.Background())
		chat(ctx, c.Entries[0].URL, "alpha", uniquePrompt(), streamTokens, true, func(string) { cancel() })
		cancel()
		next, stop := withTimeout(10 * time.Second)
		prompt := uniquePrompt()
		if r := chat(next, c.Entries[0].URL, "alpha", prompt, 8, false, nil); !r.intact("alpha", "", prompt, 8) {
			t.Errorf("answer after a cancel is not whole: %+v", r)
		}
		stop()
	}
	must(t, c.WaitFor(context.Background(), 5*time.Second, "cancels reached the engines", func() bool {
		return totalCounters(t, c).Cancelled >= 25
	}))
}

// requireRunning returns the runner whose engine runs a request now.
func requireRunning(t *testing.T, c *cluster.Cluster) *cluster.Runner {
	t.Helper()
	if r := findRunning(c); r != nil {
		return r
	}
	t.Error("no engine runs a request")
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
		if c.Counters(context.Background(), r.BackendURL, "/counters", &running) == nil && running.Running > 0 {
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

// totalCounters adds up the counters of all engines that run.
func totalCounters(t *testing.T, c *cluster.Cluster) engineCounters {
	t.Helper()
	total := engineCounters{ByRequest: map[string]int{}}
	for _, r := range c.Runners {
		var counters engineCounters
		if r.Spec.Service != "" || c.Counters(context.Background(), r.BackendURL, "/counters", &counters) != nil {
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

// waitCopies waits until both models have their floor copies again.
func waitCopies(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	must(t, c.WaitFor(context.Background(), placementTimeout, "floor copies are ready again", func() bool {
		copies, err := c.ReadyCopies(context.Background())
		return err == nil && copies["alpha"] >= 2 && copies["beta"] >= 2
	}))
}
