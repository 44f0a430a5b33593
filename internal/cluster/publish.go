package cluster

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"

	"trefoilferry.example/ferry/pkg/failure"
)

// RunFerryctl runs the operators' client ferryctl and returns its output, also when it fails.
func (c *Cluster) RunFerryctl(ctx context.Context, args ...string) (string, error) {
	command := append([]string{"--log-url", c.LogURL, "--hosts-url", c.HostsURL}, args...)
	out, err := exec.CommandContext(ctx, c.binaries.Path("ferryctl"), command...).CombinedOutput()
	if err != nil {
		return string(out), failure.Wrap(failure.Internal, failure.Ran, "ferryctl: "+string(out), err)
	}
	return string(out), nil
}

// Publish publishes the objects of a configuration text; objects that the text does not name stay as they are.
func (c *Cluster) Publish(ctx context.Context, text string) error {
	return c.publish(ctx, text)
}

// PublishReplaceAll publishes a configuration text and deletes every published object that it does not name, except
// drains.
func (c *Cluster) PublishReplaceAll(ctx context.Context, text string) error {
	return c.publish(ctx, text, "--replace-all")
}

func (c *Cluster) publish(ctx context.Context, text string, flags ...string) error {
	path := filepath.Join(c.dir, "publish.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return failure.Wrap(failure.Internal, failure.NotRun, "cannot write configuration file "+path, err)
	}
	_, err := c.RunFerryctl(ctx, append(append([]string{"publish"}, flags...), path)...)
	return err
}
