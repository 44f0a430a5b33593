package integration

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
	"trefoilferry.example/ferry/pkg/ctl"
)

// ctlResult is the result of one run of ferryctl with --json.
type ctlResult struct {
	exit   int
	output []byte
}

// runPublish runs ferryctl publish in a process of its own.
func runPublish(t *testing.T, logURL, name, text string) ctlResult {
	path := filepath.Join(t.TempDir(), name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Error(err)
		return ctlResult{exit: -1}
	}
	return ferryctl(t, "--log-url", logURL, "--json", "publish", path)
}

func ferryctl(t *testing.T, args ...string) ctlResult {
	ctx, cancel := withTimeout(20 * time.Second)
	defer cancel()
	output, err := exec.CommandContext(ctx, binaries.Path("ferryctl"), args...).Output()
	var exit *exec.ExitError
	switch {
	case err == nil:
		return ctlResult{output: output}
	case errors.As(err, &exit):
		return ctlResult{exit: exit.ExitCode(), output: output}
	}
	t.Error(err)
	return ctlResult{exit: -1, output: output}
}

// failure returns what the command printed about its failure.
func (r ctlResult) failure(t *testing.T) ctl.ErrorView {
	t.Helper()
	var document struct {
		Error ctl.ErrorView `json:"error"`
	}
	if err := json.Unmarshal(r.output, &document); err != nil {
		t.Errorf("output %q: %v", r.output, err)
	}
	return document.Error
}

// publish publishes text directly at the log and returns the offset and the time of its acceptance.
func publish(t *testing.T, c *cluster.Cluster, name, text string) (uint64, time.Time) {
	t.Helper()
	before := time.Now()
	result := runPublish(t, c.LogURL, name, text)
	var accepted ctl.PublishResult
	if err := json.Unmarshal(result.output, &accepted); err != nil || result.exit != 0 || accepted.Offset == 0 {
		t.Fatalf("publish ended with %d: %s", result.exit, result.output)
	}
	for _, entry := range history(t, c) {
		if entry.Offset == accepted.Offset {
			return accepted.Offset, entry.Time
		}
	}
	return accepted.Offset, before
}

// history returns the verdicts on all change sets, newest first.
func history(t *testing.T, c *cluster.Cluster) []ctl.HistoryView {
	t.Helper()
	var result ctl.HistoryResult
	out := ferryctl(t, "--log-url", c.LogURL, "--json", "history")
	if err := json.Unmarshal(out.output, &result); err != nil {
		t.Fatalf("history %q: %v", out.output, err)
	}
	return result.Entries
}

// isPublished reports whether an adapter is in the accepted configuration.
func isPublished(t *testing.T, c *cluster.Cluster, adapter string) bool {
	t.Helper()
	names, err := c.ModelNames(context.Background())
	must(t, err)
	for _, name := range names.Adapters {
		if name == adapter {
			return true
		}
	}
	return false
}
