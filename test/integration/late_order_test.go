package integration

import (
	"context"
	"fmt"
	"testing"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
	"trefoilferry.example/ferry/pkg/standin/faults"
)

// orderDelay is the delay before the engine executes the load order of the predecessor.
const orderDelay = 2500 * time.Millisecond

// Guards against overcommitted memory after an agent was replaced: the engine may still execute a load order of the
// predecessor, so the successor must not use the memory of that load for another model.
func TestMemoryIsHeldForLateOrderOfPredecessor(t *testing.T) {
	for _, test := range []struct {
		name           string
		honoursFencing bool
		replaceAgent   func(t *testing.T, c *cluster.Cluster, r *cluster.Runner)
	}{
		{"agent killed, engine ignores fencing", false, killAndRestart},
		{"agent killed, engine honours fencing", true, killAndRestart},
		{"agent paused and replaced, engine ignores fencing", false, pauseAndReplace},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := startSingleRunner(t, test.honoursFencing)
			r := c.Runners[0]
			must(t, c.SetFaults(context.Background(), r.BackendURL, faults.Switches{DelayOrderMillis: int(orderDelay.Milliseconds())}))
			must(t, c.PublishReplaceAll(context.Background(), bigModelConfig("first")))
			waitClaimed(t, c)
			test.replaceAgent(t, c, r)
			if !test.honoursFencing {
				// Such an engine may execute the order at any time, so the memory stays reserved and the second model
				// unplaced.
				time.Sleep(3 * orderDelay)
				return
			}
			waitSecondReady(t, c)
			checkMemory(t, c)
		})
	}
}

// Guards against memory that stays reserved for the order of a killed agent after the engine process that the order was
// sent to has been replaced. From then on the order cannot take effect.
func TestHeldMemoryIsReleasedAfterEngineRestart(t *testing.T) {
	c := startSingleRunner(t, false)
	r := c.Runners[0]
	must(t, c.SetFaults(context.Background(), r.BackendURL, faults.Switches{DelayOrderMillis: int(orderDelay.Milliseconds())}))
	must(t, c.PublishReplaceAll(context.Background(), bigModelConfig("first")))
	waitClaimed(t, c)
	killAndRestart(t, c, r)
	time.Sleep(3 * orderDelay)
	r.Backend.Kill()
	must(t, c.StartBackend(context.Background(), r))
	waitSecondReady(t, c)
}

// waitClaimed waits until the first model is claimed, and then long enough for its load order to be sent.
func waitClaimed(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	must(t, c.WaitFor(context.Background(), placementTimeout, "the first model is claimed", func() bool {
		status, err := c.AgentStatus(context.Background(), c.Runners[0])
		return err == nil && len(status.GetModels()) == 1
	}))
	time.Sleep(500 * time.Millisecond)
}

func waitSecondReady(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	must(t, c.WaitFor(context.Background(), placementTimeout, "the second model is ready", func() bool {
		copies, err := c.ReadyCopies(context.Background())
		return err == nil && copies["second"] == 1
	}))
}

// killAndRestart kills the agent and starts a successor. Like pauseAndReplace, it publishes the second model before the
// successor starts, so that the successor has no reason to order the first load again.
func killAndRestart(t *testing.T, c *cluster.Cluster, r *cluster.Runner) {
	r.Agent.Kill()
	must(t, c.PublishReplaceAll(context.Background(), bigModelConfig("second")))
	must(t, c.StartAgent(context.Background(), r))
}

// pauseAndReplace pauses the agent, starts a successor and resumes the predecessor after orderDelay/2.
func pauseAndReplace(t *testing.T, c *cluster.Cluster, r *cluster.Runner) {
	r.Agent.Pause()
	must(t, c.PublishReplaceAll(context.Background(), bigModelConfig("second")))
	predecessor, err := c.StartSuccessor(context.Background(), r)
	must(t, err)
	time.AfterFunc(orderDelay/2, predecessor.Resume)
}

// bigModelConfig returns a configuration with one model that takes more than half of the memory.
func bigModelConfig(name string) string {
	return fmt.Sprintf("[model %q]\nversion = v1\nbytes = 30GiB\nmin_copies = 1\npriority = 1\nmax_tokens = 8192\n", name)
}

// startSingleRunner starts a system with one entry host, one runner and no configuration.
func startSingleRunner(t *testing.T, honoursFencing bool) *cluster.Cluster {
	t.Helper()
	spec := smallSpec()
	spec.Entries = spec.Entries[:1]
	spec.Runners = spec.Runners[:1]
	spec.Runners[0].HonoursFencing = honoursFencing
	c, err := cluster.Start(context.Background(), binaries, t.TempDir(), spec)
	must(t, err)
	t.Cleanup(func() { finish(t, c) })
	must(t, c.WaitReady(context.Background(), readyTimeout))
	return c
}
