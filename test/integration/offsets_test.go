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

// sampleInterval is the time between two reads of a daemon's configuration offset.
const sampleInterval = 50 * time.Millisecond

// offsetSampler checks that the configuration offset of a daemon never decreases within one incarnation.
type offsetSampler struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu          sync.Mutex
	highest     map[string]uint64
	regressions []string
	samples     int
}

// sampleOffsets samples the daemons that exist now until the test ends, and fails it if an offset decreased.
func sampleOffsets(t *testing.T, c *cluster.Cluster) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &offsetSampler{cancel: cancel, highest: map[string]uint64{}}
	for _, reader := range statusReaders(c) {
		s.wg.Go(func() {
			for ctx.Err() == nil {
				s.sample(ctx, reader)
				time.Sleep(sampleInterval)
			}
		})
	}
	t.Cleanup(func() { s.stop(t) })
}

func (s *offsetSampler) sample(ctx context.Context, reader statusReader) {
	status, err := reader.status(ctx)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples++
	key := status.GetProcess() + "/" + status.GetIncarnation()
	if status.GetConfigOffset() < s.highest[key] {
		s.regressions = append(s.regressions, fmt.Sprintf("configuration offset of %s decreased from %d to %d within one incarnation", reader.name, s.highest[key], status.GetConfigOffset()))
	}
	s.highest[key] = max(s.highest[key], status.GetConfigOffset())
}

func (s *offsetSampler) stop(t *testing.T) {
	s.cancel()
	s.wg.Wait()
	for _, regression := range s.regressions {
		t.Error(regression)
	}
	t.Logf("%d samples of configuration offsets", s.samples)
	if s.samples < 100 {
		t.Errorf("samples of configuration offsets: %d, want at least 100", s.samples)
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

// requireApplied fails the test unless every running daemon that is not excluded has applied the configuration up to
// offset by the deadline. The daemons are read concurrently, so that one that does not respond does not delay the
// others' checks.
func requireApplied(t *testing.T, c *cluster.Cluster, offset uint64, deadline time.Time, excluded []*cluster.Process) {
	t.Helper()
	var wg sync.WaitGroup
	for _, reader := range statusReaders(c) {
		if isExcluded(reader.process, excluded) || !reader.process.Running() {
			continue
		}
		wg.Go(func() {
			last := uint64(0)
			for last < offset {
				readStart := time.Now()
				ctx, cancel := withTimeout(time.Second)
				status, err := reader.status(ctx)
				cancel()
				if err == nil {
					last = status.GetConfigOffset()
				}
				if last < offset && readStart.After(deadline) {
					t.Errorf("configuration offset of %s after the deadline: %d, want at least %d (error of the last read: %v)", reader.name, last, offset, err)
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	wg.Wait()
}

func isExcluded(p *cluster.Process, excluded []*cluster.Process) bool {
	for _, e := range excluded {
		if e == p {
			return true
		}
	}
	return false
}

// waitCaughtUp waits until all daemons that respond have the same configuration and placement offsets. Before an entry
// host has read the records, it does not know the models or route to their copies.
func waitCaughtUp(t *testing.T, c *cluster.Cluster) {
	t.Helper()
	must(t, c.WaitFor(context.Background(), readyTimeout, "all daemons have the same configuration and placement offsets", func() bool {
		var lowest, highest [2]uint64
		lowest = [2]uint64{math.MaxUint64, math.MaxUint64}
		for _, reader := range statusReaders(c) {
			status, err := reader.status(context.Background())
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
