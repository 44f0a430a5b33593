package integration

import (
	"context"
	"strings"
	"testing"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
	"trefoilferry.example/ferry/pkg/faultproxy"
)

// Guards against a model or an adapter that is unreachable during a log outage because every holder loaded the new
// version of the model after the outage began: the placement records still show the old version as ready, the old version
// still holds the adapter, and the engines serve the new version.
func TestVersionThatLoadsDuringALogOutageIsServed(t *testing.T) {
	ctx := context.Background()
	spec := smallSpec()
	spec.Entries = spec.Entries[:2]
	spec.Runners = []cluster.RunnerSpec{spec.Runners[0], spec.Runners[3]}
	spec.Store.LoadTime = 2 * time.Second
	c, err := cluster.Start(ctx, binaries, t.TempDir(), spec)
	must(t, err)
	t.Cleanup(func() { finish(t, c) })
	must(t, c.WaitReady(ctx, readyTimeout))
	config := strings.ReplaceAll(strings.ReplaceAll(bigModelConfig("alpha"), "30GiB", "20GiB"), "min_copies = 1", "min_copies = 2")
	config += "[adapter \"alpha-notes\"]\nmodel = alpha\nbytes = 64MiB\n"
	must(t, c.PublishReplaceAll(ctx, config))
	waitModelState(t, c, "v1", "ready")
	requireAlpha(t, c)
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
	requireAlpha(t, c)
	must(t, c.LogProxy.SetFaults(faultproxy.Faults{}))
	waitModelState(t, c, "v2", "ready")
	requireAlpha(t, c)
}

// requireAlpha requests the model and its adapter from both entry hosts, each of which prefers the holder in its region.
func requireAlpha(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	for _, e := range c.Entries {
		requireResponse(t, e, "alpha", "", 5*time.Second)
		requireResponse(t, e, "alpha", "alpha-notes", 5*time.Second)
	}
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
