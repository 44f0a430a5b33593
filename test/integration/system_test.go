package integration

import (
	"context"
	"testing"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
)

// Sizes of the system under test: three failure domains with two model runners and one service runner each.
const (
	readyTimeout     = 15 * time.Second
	placementTimeout = 20 * time.Second
	gibibyte         = 1 << 30
)

var regions = []string{"north", "middle", "south"}

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

// engineArgs make the engine stand-ins fast enough for tests and slow enough to interrupt a stream.
var engineArgs = []string{"--prefill", "200000", "--decode", "100"}

// smallSpec returns a small system with fault proxies on every hop.
func smallSpec() cluster.Spec {
	spec := cluster.Spec{
		Store:         cluster.StoreSpec{LoadsPerSecond: 50, Concurrent: 8, AdaptersInFlight: 24, LoadTime: 20 * time.Millisecond},
		HostLag:       200 * time.Millisecond,
		Proxied:       true,
		AgentSettings: map[string]string{"drain.timeout": "30s"},
	}
	for _, region := range regions {
		spec.Entries = append(spec.Entries, cluster.EntrySpec{Name: "entry-" + region, Region: region, FailureDomain: region})
		for _, n := range []string{"1", "2"} {
			spec.Runners = append(spec.Runners, cluster.RunnerSpec{
				Name: "runner-" + region + "-" + n, Region: region, FailureDomain: region,
				MemoryBytes: 48 * gibibyte, Accelerators: 1, HonoursFencing: n == "1", Args: engineArgs,
			})
		}
		spec.Runners = append(spec.Runners, cluster.RunnerSpec{
			Name: "booking-" + region, Region: region, FailureDomain: region, Service: "booking",
		})
	}
	return spec
}

// start runs a system, publishes the sample configuration and waits until every model has its floor copies.
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

// finish checks what must hold after every test and ends all processes.
func finish(t *testing.T, c *cluster.Cluster) {
	checkMemory(t, c)
	if t.Failed() {
		for _, p := range c.Daemons() {
			t.Logf("-- %s\n%s", p.Name, lastBytes(p.Output(), 3000))
		}
	}
	c.Kill()
}

// engineCounters is the part of an engine's counters that the tests read.
type engineCounters struct {
	Overdraws   int            `json:"overdraws"`
	Loads       int            `json:"loads"`
	Started     int            `json:"started"`
	Cancelled   int            `json:"cancelled"`
	CutRequests int            `json:"cut_requests"`
	Mismatches  int            `json:"resume_mismatches"`
	ByRequest   map[string]int `json:"by_request"`
}

// checkMemory guards against accelerator memory that was committed beyond its size at any time of the test.
func checkMemory(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	for _, r := range c.Runners {
		if r.Spec.Service != "" || !r.Backend.Running() {
			continue
		}
		var counters engineCounters
		if err := c.Counters(context.Background(), r.BackendURL, "/counters", &counters); err != nil {
			continue
		}
		if counters.Overdraws > 0 {
			t.Errorf("%s was overdrawn %d times", r.Spec.Name, counters.Overdraws)
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
