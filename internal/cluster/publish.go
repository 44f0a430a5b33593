package cluster

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"

	"trefoilferry.example/ferry/pkg/failure"
)

// Ferryctl runs the operators' client and returns its output.
func (c *Cluster) Ferryctl(ctx context.Context, args ...string) (string, error) {
	command := append([]string{"--log-url", c.LogURL, "--hosts-url", c.HostsURL}, args...)
	out, err := exec.CommandContext(ctx, c.binaries.Path("ferryctl"), command...).CombinedOutput()
	if err != nil {
		return string(out), failure.Wrap(failure.Internal, failure.Ran, "ferryctl: "+string(out), err)
	}
	return string(out), nil
}

// Publish publishes configuration text.
func (c *Cluster) Publish(ctx context.Context, text string) error {
	path := filepath.Join(c.dir, "publish.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return failure.Wrap(failure.Internal, failure.NotRun, "configuration not written", err)
	}
	_, err := c.Ferryctl(ctx, "publish", path)
	return err
}
