package integration

import (
	"context"
	"testing"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
)

// Timeouts for ready daemons and for ready copies, and a unit of memory.
const (
	readyTimeout     = 15 * time.Second
	placementTimeout = 20 * time.Second
	gibibyte         = 1 << 30
)

// regions are the regions of the system under test, each with a failure domain of the same name.
var regions = []string{"north", "middle", "south"}

// sampleConfig is the configuration that start publishes: two models, an adapter and a service.
const sampleConfig = `
[model "alpha"]
version = v1
bytes = 20GiB
min_copies = 2
first_token_target = 620ms
between_tokens_target = 51ms
priority = 10
max_tokens = 8192

[model "beta"]
version = v1
bytes = 20GiB
min_copies = 2
first_token_target = 620ms
between_tokens_target = 51ms
priority = 10
max_tokens = 8192

[adapter "alpha-notes"]
model = alpha
bytes = 64MiB

[service "booking"]
idempotent_methods = GET, HEAD
timeout = 10s
`

// engineArgs set the prefill and decode rates of the engine stand-ins in tokens per second: fast enough for tests and
// slow enough that a stream can be interrupted.
var engineArgs = []string{"--prefill", "200000", "--decode", "100"}

// smallSpec returns a system with fault proxies on every hop. Each of its three failure domains has an entry host, two
// model runners and one service runner.
func smallSpec() cluster.Spec {
	spec := cluster.Spec{
		Store:           cluster.StoreSpec{LoadsPerSecond: 50, MaxConcurrentLoads: 8, AdaptersInFlight: 24, LoadTime: 20 * time.Millisecond},
		HostListDelay:   200 * time.Millisecond,
		UseFaultProxies: true,
		AgentSettings:   map[string]string{"drain.timeout": "30s"},
	}
	for _, region := range regions {
		spec.Entries = append(spec.Entries, cluster.EntrySpec{Name: "entry-" + region, Region: region, FailureDomain: region})
		for _, n := range []string{"1", "2"} {
			spec.Runners = append(spec.Runners, cluster.RunnerSpec{
				Name: "runner-" + region + "-" + n, Region: region, FailureDomain: region,
				MemoryBytes: 48 * gibibyte, Accelerators: 1, HonoursFencing: n == "1", BackendArgs: engineArgs,
			})
		}
		spec.Runners = append(spec.Runners, cluster.RunnerSpec{
			Name: "booking-" + region, Region: region, FailureDomain: region, Service: "booking",
		})
	}
	return spec
}

// start starts a system, publishes sampleConfig and waits until every model has its floor copies.
func start(t *testing.T, spec cluster.Spec) *cluster.Cluster {
	t.Helper()
	ctx := context.Background()
	c, err := cluster.Start(ctx, binaries, t.TempDir(), spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { finish(t, c) })
	must(t, c.WaitReady(ctx, readyTimeout))
	must(t, c.Publish(ctx, sampleConfig))
	must(t, c.WaitFor(ctx, placementTimeout, "all floor copies are ready", func() bool {
		copies, err := c.ReadyCopies(ctx)
		return err == nil && copies["alpha"] >= 2 && copies["beta"] >= 2
	}))
	waitCaughtUp(t, c)
	return c
}

// finish checks that no engine was overcommitted, prints the end of each daemon's log if the test failed, and ends all
// processes.
func finish(t *testing.T, c *cluster.Cluster) {
	checkMemory(t, c)
	if t.Failed() {
		for _, p := range c.Daemons() {
			t.Logf("-- %s\n%s", p.Name, lastBytes(p.Output(), 3000))
		}
	}
	c.Kill()
}

// engineCounters has the counters of an engine stand-in that the tests read.
type engineCounters struct {
	Overdraws   int            `json:"overdraws"`
	Loads       int            `json:"loads"`
	Started     int            `json:"started"`
	Cancelled   int            `json:"cancelled"`
	CutRequests int            `json:"cut_requests"`
	Mismatches  int            `json:"resume_mismatches"`
	ByRequest   map[string]int `json:"by_request"`
}

// checkMemory fails the test if an engine that runs now ever had more accelerator memory committed than its size.
func checkMemory(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	for _, r := range c.Runners {
		if r.Spec.Service != "" || !r.Backend.Running() {
			continue
		}
		var counters engineCounters
		if err := c.ReadCounters(context.Background(), r.BackendURL, "/counters", &counters); err != nil {
			continue
		}
		if counters.Overdraws > 0 {
			t.Errorf("times that the memory of %s was overcommitted: %d, want 0", r.Spec.Name, counters.Overdraws)
		}
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func lastBytes(s string, n int) string {
	if len(s) <= n {
		return s
	}
	return s[len(s)-n:]
}
