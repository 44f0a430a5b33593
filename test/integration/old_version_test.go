package integration

import (
	"context"
	"strings"
	"testing"
)

// Guards against old versions of a model that stay in memory beside a newer one until a further version does not fit.
func TestOldVersionsAreFreed(t *testing.T) {
	c := startSingleRunner(t, true)
	for _, version := range []string{"v1", "v2", "v3", "v4", "v5", "v6"} {
		text := strings.ReplaceAll(strings.ReplaceAll(bigModelConfig("first"), "v1", version), "30GiB", "10GiB")
		must(t, c.PublishReplaceAll(context.Background(), text))
		must(t, c.WaitFor(context.Background(), placementTimeout, version+" is ready", func() bool {
			status, err := c.AgentStatus(context.Background(), c.Runners[0])
			if err != nil {
				return false
			}
			for _, m := range status.GetModels() {
				if m.GetVersion() == version && m.GetState() == "ready" {
					return true
				}
			}
			return false
		}))
	}
}
