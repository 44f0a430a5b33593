package lease

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
)

// memoryStore is a Store in memory that counts the calls.
type memoryStore struct {
	mu       sync.Mutex
	rec      Record
	position int64
	changed  chan struct{}
	calls    int
}

func newMemoryStore() *memoryStore { return &memoryStore{changed: make(chan struct{})} }

func (s *memoryStore) Load(context.Context) (Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.rec, s.position, nil
}

func (s *memoryStore) Await(ctx context.Context, after int64, wait time.Duration) (Record, int64, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for s.position <= after {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
			s.mu.Lock()
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		s.mu.Lock()
		return Record{}, after, false, ctx.Err()
	}
	return s.rec, s.position, true, nil
}

func (s *memoryStore) Swap(_ context.Context, at int64, rec Record) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if at != s.position {
		return 0, failure.New(failure.PublishConflict, failure.NotRun, "another record was stored")
	}
	s.rec, s.position = rec, s.position+1
	close(s.changed)
	s.changed = make(chan struct{})
	return s.position, nil
}

// takeCalls returns the number of calls since the last time.
func (s *memoryStore) takeCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.calls
	s.calls = 0
	return n
}

// noState hands over nothing.
type noState struct{}

func (noState) ExportState() string { return "" }
func (noState) ImportState(string)  {}
func (noState) ObserveState(string) {}

// Load pattern: the holder of the lease is lost at once for 103 daemons. Guards against daemons that poll the store
// until one of them has taken the lease and the others have seen it: with a read each 300 ms a hand-over took about ten
// calls of every daemon, and calls were the largest price on most days of apdd-orders-large.
func TestLossOfTheHolderCostsFewCalls(t *testing.T) {
	const daemons, maxCallsEach = 103, 4
	store := newMemoryStore()
	first := newMemoryElector(store, "first")
	for range 4 {
		first.step(t.Context())
	}
	if !first.Held() {
		t.Fatal("the first daemon does not hold a free lease after a read, a wait and a write")
	}
	var electors []*Elector
	for i := range daemons {
		e := newMemoryElector(store, fmt.Sprint("d", i))
		e.step(t.Context())
		e.SetDaemons(daemons)
		e.RecordHolderContact(store.position)
		electors = append(electors, e)
	}
	store.takeCalls()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for _, e := range electors {
		e.RecordHolderLost()
		running.Go(func() { e.Run(ctx) })
	}
	took := waitForHolder(t, electors)
	cancel()
	running.Wait()
	if n := store.takeCalls(); n > maxCallsEach*daemons {
		t.Errorf("calls to the store for a hand-over among %d daemons: %d, want at most %d", daemons, n, maxCallsEach*daemons)
	}
	if limit := NewFencedTiming().TakeoverAfter + maxTakeoverSpread/4; took > limit {
		t.Errorf("all daemons know the next holder after %v, want at most %v", took, limit)
	}
}

func newMemoryElector(s Store, name string) *Elector {
	return NewElector(s, eventlog.Discard(), name, name+":1", 0, NewFencedTiming(), noState{})
}

// waitForHolder waits until all electors agree on a holder other than first and returns the time that it took.
func waitForHolder(t *testing.T, electors []*Elector) time.Duration {
	t.Helper()
	began := time.Now()
	for time.Since(began) < 10*time.Second {
		holder, agreed := electors[0].Holder().Holder, true
		for _, e := range electors {
			agreed = agreed && e.Holder().Holder == holder
		}
		if agreed && holder != "first" {
			return time.Since(began)
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the daemons do not agree on the next holder after 10 s")
	return 0
}
