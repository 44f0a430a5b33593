package integration

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/internal/cluster"
)

// sampleInterval is the time between two samples of a daemon's configuration offset.
const sampleInterval = 50 * time.Millisecond

// offsetSampler watches the configuration offset of every daemon for steps back within one incarnation.
type offsetSampler struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu          sync.Mutex
	highest     map[string]uint64
	regressions []string
	samples     int
}

// sampleOffsets samples the daemons that exist now until the test ends, and fails it on a step back.
func sampleOffsets(t *testing.T, c *cluster.Cluster) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &offsetSampler{cancel: cancel, highest: map[string]uint64{}}
	for _, read := range statusReaders(c) {
		s.wg.Go(func() {
			for ctx.Err() == nil {
				s.sample(ctx, read)
				time.Sleep(sampleInterval)
			}
		})
	}
	t.Cleanup(func() { s.stop(t) })
}

func (s *offsetSampler) sample(ctx context.Context, read statusReader) {
	status, err := read.status(ctx)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples++
	key := status.GetProcess() + "/" + status.GetIncarnation()
	if status.GetConfigOffset() < s.highest[key] {
		s.regressions = append(s.regressions, fmt.Sprintf("offset of %s stepped back from %d to %d", read.name, s.highest[key], status.GetConfigOffset()))
	}
	s.highest[key] = max(s.highest[key], status.GetConfigOffset())
}

func (s *offsetSampler) stop(t *testing.T) {
	s.cancel()
	s.wg.Wait()
	for _, fault := range s.regressions {
		t.Error(fault)
	}
	t.Logf("%d samples of offsets", s.samples)
	if s.samples < 100 {
		t.Errorf("only %d samples of offsets were taken", s.samples)
	}
}

// statusReader reads the status of one daemon.
type statusReader struct {
	name    string
	process *cluster.Process
	status  func(context.Context) (*ferrypb.StatusResponse, error)
}

func statusReaders(c *cluster.Cluster) []statusReader {
	var out []statusReader
	for _, e := range c.Entries {
		out = append(out, statusReader{e.Spec.Name, e.Process, func(ctx context.Context) (*ferrypb.StatusResponse, error) { return c.EntryStatus(ctx, e) }})
	}
	for _, r := range c.Runners {
		out = append(out, statusReader{r.Spec.Name, r.Agent, func(ctx context.Context) (*ferrypb.StatusResponse, error) { return c.AgentStatus(ctx, r) }})
	}
	return out
}

// requireApplied fails the test unless every daemon but the excepted ones has the offset in force at the deadline.
// Each daemon is asked on its own, so that a silent one does not hide the others.
func requireApplied(t *testing.T, c *cluster.Cluster, offset uint64, deadline time.Time, excluded []*cluster.Process) {
	t.Helper()
	var wait sync.WaitGroup
	for _, read := range statusReaders(c) {
		if isExcluded(read.process, excluded) || !read.process.Running() {
			continue
		}
		wait.Go(func() {
			last := uint64(0)
			for last < offset {
				asked := time.Now()
				ctx, cancel := withTimeout(time.Second)
				status, err := read.status(ctx)
				cancel()
				if err == nil {
					last = status.GetConfigOffset()
				}
				if last < offset && asked.After(deadline) {
					t.Errorf("%s has offset %d after the deadline, want %d (%v)", read.name, last, offset, err)
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	wait.Wait()
}

func isExcluded(p *cluster.Process, excluded []*cluster.Process) bool {
	for _, e := range excluded {
		if e == p {
			return true
		}
	}
	return false
}

// waitCaughtUp waits until every daemon that answers has applied what any of them has: an entry host does not route to a
// copy or know a model before it has read of it.
func waitCaughtUp(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	must(t, c.WaitFor(context.Background(), readyTimeout, "all daemons are current", func() bool {
		var lowest, highest [2]uint64
		lowest = [2]uint64{math.MaxUint64, math.MaxUint64}
		for _, read := range statusReaders(c) {
			status, err := read.status(context.Background())
			if err != nil {
				continue
			}
			for i, offset := range []uint64{status.GetConfigOffset(), status.GetPlacementOffset()} {
				lowest[i] = min(lowest[i], offset)
				highest[i] = max(highest[i], offset)
			}
		}
		return lowest == highest
	}))
}
