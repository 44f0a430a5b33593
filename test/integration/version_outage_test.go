package integration

import (
	"context"
	"strings"
	"testing"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
	"trefoilferry.example/ferry/pkg/faultproxy"
)

// Guards against a model that is unreachable during a log outage because every holder loaded its new version after the
// outage began: the placement records still show the old version as ready, and the engines serve the new one.
func TestVersionThatLoadsDuringALogOutageIsServed(t *testing.T) {
	ctx := context.Background()
	spec := smallSpec()
	spec.Entries = spec.Entries[:1]
	spec.Runners = []cluster.RunnerSpec{spec.Runners[0], spec.Runners[3]}
	spec.Store.LoadTime = 2 * time.Second
	c, err := cluster.Start(ctx, binaries, t.TempDir(), spec)
	must(t, err)
	t.Cleanup(func() { finish(t, c) })
	must(t, c.WaitReady(ctx, readyTimeout))
	config := strings.ReplaceAll(strings.ReplaceAll(bigModelConfig("alpha"), "30GiB", "20GiB"), "min_copies = 1", "min_copies = 2")
	must(t, c.PublishReplaceAll(ctx, config))
	waitModelState(t, c, "v1", "ready")
	must(t, c.PublishReplaceAll(ctx, strings.ReplaceAll(config, "v1", "v2")))
	waitModelState(t, c, "v2", "claimed")
	must(t, c.LogProxy.SetFaults(faultproxy.Faults{Refuse: true}))
	c.LogProxy.ResetConnections()
	must(t, c.WaitFor(ctx, placementTimeout, "both engines have loaded both versions", func() bool {
		for _, r := range c.Runners {
			var counters engineCounters
			if c.ReadCounters(ctx, r.BackendURL, "/counters", &counters) != nil || counters.Loads != 2 {
				return false
			}
		}
		return true
	}))
	time.Sleep(500 * time.Millisecond)
	requireResponse(t, c.Entries[0], "alpha", "", 5*time.Second)
	must(t, c.LogProxy.SetFaults(faultproxy.Faults{}))
	waitModelState(t, c, "v2", "ready")
	requireResponse(t, c.Entries[0], "alpha", "", 5*time.Second)
}

// waitModelState waits until every runner has a copy of a version in a state.
func waitModelState(t *testing.T, c *cluster.Cluster, version, state string) {
	t.Helper()
	must(t, c.WaitFor(context.Background(), placementTimeout, "all copies of "+version+" are "+state, func() bool {
		for _, r := range c.Runners {
			status, err := c.AgentStatus(context.Background(), r)
			if err != nil {
				return false
			}
			found := false
			for _, m := range status.GetModels() {
				found = found || m.GetVersion() == version && m.GetState() == state
			}
			if !found {
				return false
			}
		}
		return true
	}))
}
