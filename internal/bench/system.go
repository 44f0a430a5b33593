package bench

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
	"trefoilferry.example/ferry/pkg/failure"
)

// Timeouts and intervals of the steps before a measurement.
const (
	readyTimeout = 30 * time.Second
	// settleTimeout limits the wait for settled placement; it allows for the load rate of the profile's weight store.
	settleTimeout = 90 * time.Second
	// settleQuietPeriod is the time without model loads after which placement counts as settled.
	settleQuietPeriod  = 3 * time.Second
	settlePollInterval = 250 * time.Millisecond
)

// system is a running cluster with its own temporary directory.
type system struct {
	*cluster.Cluster
	dir string
}

// startSystem starts the processes and waits until all daemons are ready.
func startSystem(ctx context.Context, binDir string, spec cluster.Spec) (*system, error) {
	dir, err := os.MkdirTemp("", "ferry-bench-")
	if err != nil {
		return nil, failure.Wrap(failure.Internal, failure.NotRun, "cannot create a directory for settings", err)
	}
	c, err := cluster.Start(ctx, cluster.Binaries{Dir: binDir}, dir, spec)
	if err != nil {
		_ = os.RemoveAll(dir)
		return nil, err
	}
	s := &system{Cluster: c, dir: dir}
	if err := c.WaitReady(ctx, readyTimeout); err != nil {
		s.destroy()
		return nil, err
	}
	return s, nil
}

// destroy kills all processes and removes the directory.
func (s *system) destroy() {
	s.Kill()
	_ = os.RemoveAll(s.dir)
}

// publishFile publishes a configuration file.
func (s *system) publishFile(ctx context.Context, path string) error {
	_, err := s.RunFerryctl(ctx, "publish", filepath.Clean(path))
	return err
}

// waitSettled waits until every model has a ready copy and no model was loaded for settleQuietPeriod. It fails with code
// DeadlineExceeded after settleTimeout.
func (s *system) waitSettled(ctx context.Context, models []string) error {
	counters := newCounterCollector(s.Cluster)
	loads, since := -1, time.Now()
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for {
		now := counters.read(ctx).Moves.Loads
		if now != loads || !s.allPlaced(ctx, models) {
			loads, since = now, time.Now()
		}
		if time.Since(since) >= settleQuietPeriod {
			return nil
		}
		if !sleepUntil(ctx, time.Now().Add(settlePollInterval)) {
			return failure.New(failure.DeadlineExceeded, failure.Unknown, fmt.Sprintf("placement did not settle (limit %v): %d loads so far, stable for %v, want %v",
				settleTimeout, loads, time.Since(since).Round(time.Millisecond), settleQuietPeriod))
		}
	}
}

// allPlaced reports whether every model has a ready copy.
func (s *system) allPlaced(ctx context.Context, models []string) bool {
	copies, err := s.ReadyCopies(ctx)
	if err != nil {
		return false
	}
	for _, name := range models {
		if copies[name] == 0 {
			return false
		}
	}
	return true
}

// entryURLs returns the base URLs of the entry hosts.
func (s *system) entryURLs() []string {
	var out []string
	for _, e := range s.Entries {
		out = append(out, e.URL)
	}
	return out
}

// entryRegions returns the regions of the entry hosts by index.
func (s *system) entryRegions() []string {
	var out []string
	for _, e := range s.Entries {
		out = append(out, e.Spec.Region)
	}
	return out
}

// runnerRegions returns the region of each runner by name.
func (s *system) runnerRegions() map[string]string {
	out := map[string]string{}
	for _, r := range s.Runners {
		out[r.Spec.Name] = r.Spec.Region
	}
	return out
}

// accelerators returns the number of accelerators of all runners with an engine.
func (s *system) accelerators() int {
	n := 0
	for _, r := range s.Runners {
		if r.Spec.Service == "" {
			n += max(1, r.Spec.Accelerators)
		}
	}
	return n
}

// writeLogs writes the output of each daemon to a file in dir. It does nothing if dir is empty.
func (s *system) writeLogs(dir string) error {
	if dir == "" {
		return nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return failure.Wrap(failure.Internal, failure.Ran, "cannot create the log directory "+dir, err)
	}
	for _, p := range s.Daemons() {
		if err := os.WriteFile(filepath.Join(dir, p.Name+".log"), []byte(p.Output()), 0o600); err != nil {
			return failure.Wrap(failure.Internal, failure.Ran, "cannot write the log of "+p.Name, err)
		}
	}
	return nil
}
