package bench

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"trefoilferry.example/ferry/internal/cluster"
	"trefoilferry.example/ferry/pkg/failure"
)

// Limits of the steps before a measurement.
const (
	readyWait = 30 * time.Second
	// settleWait bounds the placement of the floor copies at the rate of the profile's weight store.
	settleWait = 90 * time.Second
	// settleQuiet is the time without a load after which placement counts as settled.
	settleQuiet = 3 * time.Second
	settlePoll  = 250 * time.Millisecond
)

// system is a running cluster in a directory of its own.
type system struct {
	*cluster.Cluster
	dir string
}

// startSystem starts the processes and waits until all daemons are ready.
func startSystem(ctx context.Context, binDir string, spec cluster.Spec) (*system, error) {
	dir, err := os.MkdirTemp("", "ferry-bench-")
	if err != nil {
		return nil, failure.Wrap(failure.Internal, failure.NotRun, "no directory for settings", err)
	}
	c, err := cluster.Start(ctx, cluster.Binaries{Dir: binDir}, dir, spec)
	if err != nil {
		_ = os.RemoveAll(dir)
		return nil, err
	}
	s := &system{Cluster: c, dir: dir}
	if err := c.WaitReady(ctx, readyWait); err != nil {
		s.end()
		return nil, err
	}
	return s, nil
}

// end kills all processes and removes the directory.
func (s *system) end() {
	s.Kill()
	_ = os.RemoveAll(s.dir)
}

// publishFile publishes a configuration file.
func (s *system) publishFile(ctx context.Context, path string) error {
	_, err := s.Ferryctl(ctx, "publish", filepath.Clean(path))
	return err
}

// settle waits until every model has a ready copy and loads have stopped.
func (s *system) settle(ctx context.Context, models []string) error {
	w := newWitness(s.Cluster)
	loads, since := -1, time.Now()
	ctx, cancel := context.WithTimeout(ctx, settleWait)
	defer cancel()
	for {
		now := w.read(ctx).Moves.Loads
		if now != loads || !s.placed(ctx, models) {
			loads, since = now, time.Now()
		}
		if time.Since(since) >= settleQuiet {
			return nil
		}
		if !sleepUntil(ctx, time.Now().Add(settlePoll)) {
			return failure.New(failure.DeadlineExpired, failure.Unknown, "placement has not settled")
		}
	}
}

func (s *system) placed(ctx context.Context, models []string) bool {
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

// entryRegions returns the regions of the entry hosts.
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

// accelerators returns the number of accelerators of all model runners.
func (s *system) accelerators() int {
	n := 0
	for _, r := range s.Runners {
		if r.Spec.Service == "" {
			n += max(1, r.Spec.Accelerators)
		}
	}
	return n
}

// writeLogs writes the output of each daemon to a file in dir; an empty dir writes none.
func (s *system) writeLogs(dir string) error {
	if dir == "" {
		return nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return failure.Wrap(failure.Internal, failure.Ran, "directory of logs not made", err)
	}
	for _, p := range s.Daemons() {
		if err := os.WriteFile(filepath.Join(dir, p.Name+".log"), []byte(p.Output()), 0o600); err != nil {
			return failure.Wrap(failure.Internal, failure.Ran, "log not written", err)
		}
	}
	return nil
}
