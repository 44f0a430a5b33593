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

// ctlResult is the exit code and the standard output of one run of ferryctl.
type ctlResult struct {
	exit   int
	output []byte
}

// runPublish writes text to a settings file and runs ferryctl publish on it against the log at logURL.
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
	t.Errorf("run of ferryctl %q: %v", args, err)
	return ctlResult{exit: -1, output: output}
}

// failure returns the error that the command printed with --json.
func (r ctlResult) failure(t *testing.T) ctl.ErrorView {
	t.Helper()
	var document struct {
		Error ctl.ErrorView `json:"error"`
	}
	if err := json.Unmarshal(r.output, &document); err != nil {
		t.Errorf("output of ferryctl %q is not JSON: %v", r.output, err)
	}
	return document.Error
}

// publish publishes text to the log, bypassing its fault proxy, and returns the offset and the time of the accepted
// change set. The time is the one before the command if the history does not list the change set.
func publish(t *testing.T, c *cluster.Cluster, name, text string) (uint64, time.Time) {
	t.Helper()
	before := time.Now()
	result := runPublish(t, c.LogURL, name, text)
	var accepted ctl.PublishResult
	if err := json.Unmarshal(result.output, &accepted); err != nil || result.exit != 0 || accepted.Offset == 0 {
		t.Fatalf("publish: exit code %d and offset %d, want 0 and an offset above 0: %s", result.exit, accepted.Offset, result.output)
	}
	for _, entry := range history(t, c) {
		if entry.Offset == accepted.Offset {
			return accepted.Offset, entry.Time
		}
	}
	return accepted.Offset, before
}

// history returns all change sets in the log with their verdicts, newest first.
func history(t *testing.T, c *cluster.Cluster) []ctl.HistoryView {
	t.Helper()
	var result ctl.HistoryResult
	out := ferryctl(t, "--log-url", c.LogURL, "--json", "history")
	if err := json.Unmarshal(out.output, &result); err != nil {
		t.Fatalf("output of ferryctl history %q is not JSON: %v", out.output, err)
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
