package integration

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
)

// testRetention is the age at which the log drops records. Daemons check once a second whether a checkpoint is due.
const testRetention = 10 * time.Second

// Guards against configuration or placement that is lost when the log drops the records that contain it: for a daemon
// that starts later, for one that was paused for longer than the retention, and after all daemons were killed at once.
func TestStateSurvivesLogRetention(t *testing.T) {
	spec := smallSpec()
	spec.LogMaxAge = testRetention
	spec.EntrySettings = map[string]string{"platform.log_retention": testRetention.String()}
	spec.AgentSettings["platform.log_retention"] = testRetention.String()
	c := start(t, spec)
	sampleOffsets(t, c)
	offset, _ := publish(t, c, "late", adapterConfig("alpha-late", "1MiB"))
	paused := c.Entries[2].Process
	paused.Pause()
	placed, err := c.EntryStatus(context.Background(), c.Entries[0])
	must(t, err)
	for name, last := range map[string]uint64{"config": offset, "placement": placed.GetPlacementOffset()} {
		must(t, c.WaitFor(context.Background(), 3*testRetention, "the first records of stream "+name+" have expired", func() bool {
			resp, err := callerClient.Get(fmt.Sprintf("%s/streams/%s/records?from=%d", c.LogURL, name, last))
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusGone
		}))
	}
	paused.Resume()
	requireApplied(t, c, offset, time.Now().Add(configApplyBound), nil)
	entry, err := c.AddEntry(context.Background(), cluster.EntrySpec{Name: "entry-late", Region: regions[0], FailureDomain: regions[0]})
	must(t, err)
	runner, err := c.AddRunner(context.Background(), cluster.RunnerSpec{
		Name: "runner-late", Region: regions[0], FailureDomain: regions[0], MemoryBytes: 48 * gibibyte, Accelerators: 1, BackendArgs: engineArgs,
	})
	must(t, err)
	must(t, c.WaitReady(context.Background(), readyTimeout))
	requireApplied(t, c, offset, time.Now().Add(configApplyBound), nil)
	requireResponse(t, entry, "alpha", "alpha-late", 10*time.Second)
	requireResponse(t, entry, "beta", "", 10*time.Second)
	status, err := c.AgentStatus(context.Background(), runner)
	must(t, err)
	if status.GetPlacementOffset() == 0 || status.GetConfigOffset() < offset {
		t.Errorf("offsets of the new agent: placement %d, configuration %d, want at least 1 and %d", status.GetPlacementOffset(), status.GetConfigOffset(), offset)
	}
	// With all daemons killed, the state is only in the checkpoints in the log.
	for _, p := range c.Daemons() {
		p.Kill()
	}
	for _, p := range c.Daemons() {
		must(t, p.Start())
	}
	must(t, c.WaitReady(context.Background(), readyTimeout))
	requireApplied(t, c, offset, time.Now().Add(configApplyBound), nil)
	requireResponse(t, entry, "alpha", "alpha-late", 10*time.Second)
	requireResponse(t, entry, "beta", "", 10*time.Second)
}
