package coordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/gateway"
	"trefoilferry.example/ferry/pkg/lease"
	"trefoilferry.example/ferry/pkg/quarantine"
	"trefoilferry.example/ferry/pkg/serverlimit"
)

// listStore is a store with a list of servers that leave one after the other.
type listStore struct {
	mu   sync.Mutex
	all  []fleet.Server
	left []string
}

func (s *listStore) leave(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left = append(s.left, id)
}

// listSource reads a listStore; its reads hang while it is cut off.
type listSource struct {
	store *listStore
	cut   atomic.Bool
	// hangs is the number of reads that hang although the store is within reach, as over a dead connection.
	hangs atomic.Int32
	read  int
	known bool
}

func (s *listSource) Restart() { s.known = false }

func (s *listSource) Next(ctx context.Context) (gateway.ServerChanges, error) {
	if s.cut.Load() || s.hangs.Add(-1) >= 0 {
		<-ctx.Done()
		return gateway.ServerChanges{}, failure.New(failure.LogUnavailable, failure.Unknown, "no response")
	}
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	var out gateway.ServerChanges
	if out.Full = !s.known; out.Full {
		for _, server := range s.store.all {
			if !slices.Contains(s.store.left, server.ID) {
				out.Changes = append(out.Changes, gateway.ServerChange{ID: server.ID, Server: server})
			}
		}
	} else {
		for _, id := range s.store.left[s.read:] {
			out.Changes = append(out.Changes, gateway.ServerChange{ID: id, Removed: true})
		}
	}
	s.read, s.known = len(s.store.left), true
	return out, nil
}

// fixedConfig is a source with one configuration.
type fixedConfig struct{ config *fleet.Config }

func (s fixedConfig) Next(ctx context.Context, wait time.Duration) (*fleet.Config, error) {
	sleep(ctx, wait)
	return s.config, nil
}

// scriptedLease is the lease as all daemons see it: the holder changes at set times.
type scriptedLease struct {
	holder *atomic.Int32
	self   int32
}

func (l scriptedLease) Held() bool { return l.holder.Load() == l.self }
func (l scriptedLease) Holder() lease.Record {
	return lease.Record{Address: holderName(l.holder.Load()), Token: int64(l.holder.Load())}
}
func (l scriptedLease) Tenure() int64 {
	if l.Held() {
		return int64(l.self)
	}
	return 0
}
func (l scriptedLease) Token() (int64, bool)      { return 0, false }
func (l scriptedLease) IsSoleHolder() bool        { return false }
func (scriptedLease) Daemons() int                { return 0 }
func (scriptedLease) ConfirmedAge() time.Duration { return 0 }
func (l scriptedLease) Position() int64           { return int64(l.holder.Load()) }
func (scriptedLease) RecordFenced(int64)          {}
func (scriptedLease) RecordHolderContact(int64)   {}
func (scriptedLease) RecordHolderLost()           {}
func (scriptedLease) SetDaemons(int)              {}

func holderName(n int32) string { return fmt.Sprint("h", n) }

// Load pattern: among some hundred daemons the holder is cut off from the store, then its successor as well, while
// servers leave without reporting it and each daemon's first own read hangs, that of a
// new holder included. Guards against a path from the store to a
// daemon that is longer than the bound because every part of it is allowed its own time: on fresh-e923 of
// apdd-orders-large a request reached a server 5,565 ms after it had left (bound 5,000 ms).
func TestServersThatLeaveDuringTwoHandoversAreDroppedInTime(t *testing.T) {
	const (
		bound     = 2500 * time.Millisecond
		followers = 150
		servers   = 172
		takeover  = 1700 * time.Millisecond // lease.NewFencedTiming
		firstCut  = 300 * time.Millisecond
		secondCut = firstCut + takeover + 1200*time.Millisecond
		thirdHold = secondCut + takeover
	)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	store := &listStore{}
	for i := range servers {
		store.all = append(store.all, fleet.Server{ID: fmt.Sprint("s", i), Service: "llm", Address: "127.0.0.1:1", StartMillis: 1, Sequence: 1})
	}
	config := fixedConfig{&fleet.Config{Version: 1, Services: map[string]fleet.Service{"llm": {Name: "llm"}}}}
	holder := &atomic.Int32{}
	holder.Store(1)
	var running sync.WaitGroup
	clients := map[string]ferrypb.Coordinator{}
	var reporters []*Reporter
	start := func(self int32) (*gateway.Control, *listSource) {
		control := gateway.NewControl(eventlog.Discard(), gateway.NewPollTiming(bound))
		source := &listSource{store: store}
		running.Go(func() { control.Follow(ctx, config, source) })
		l := scriptedLease{holder, self}
		local := New(Config{Holder: holderName(self)}, control, l, nil, eventlog.Discard())
		if self > 0 {
			clients[holderName(self)] = local
		}
		reporter := NewReporter(fmt.Sprint("d", self), l, local, control, gateway.NewDemand(), gateway.NewTracker(), quarantine.NewBoard(), serverlimit.NewTable(rand.Float64), nil, nil, eventlog.Discard())
		reporter.clients = clients
		reporters = append(reporters, reporter)
		time.AfterFunc(firstCut, func() { source.hangs.Store(1) })
		return control, source
	}
	var sources []*listSource
	for self := range int32(3) {
		_, source := start(self + 1)
		sources = append(sources, source)
	}
	var controls []*gateway.Control
	for i := range int32(followers) {
		control, _ := start(-1 - i)
		controls = append(controls, control)
	}
	for _, r := range reporters {
		running.Go(func() { r.Run(ctx) })
	}
	waitUntil(t, 5*time.Second, func() bool {
		return !slices.ContainsFunc(controls, func(c *gateway.Control) bool { return len(c.View().Servers) != servers })
	})
	began := time.Now()
	time.AfterFunc(firstCut, func() { sources[0].cut.Store(true) })
	time.AfterFunc(firstCut+takeover, func() { sources[1].hangs.Store(1); holder.Store(2) })
	time.AfterFunc(secondCut, func() { sources[1].cut.Store(true) })
	time.AfterFunc(thirdHold, func() { sources[2].hangs.Store(1); holder.Store(3) })
	leftAt := []time.Time{}
	for time.Since(began) < thirdHold+bound {
		if n := int(time.Since(began) / (250 * time.Millisecond)); len(leftAt) < n && time.Since(began) < thirdHold {
			store.leave(fmt.Sprint("s", len(leftAt)))
			leftAt = append(leftAt, time.Now())
		}
		requireDropped(t, controls, leftAt, bound)
		time.Sleep(20 * time.Millisecond)
	}
	cancel()
	running.Wait()
}

// requireDropped fails for servers that a daemon still lists although they left longer ago than the bound.
func requireDropped(t *testing.T, controls []*gateway.Control, leftAt []time.Time, bound time.Duration) {
	t.Helper()
	for n, control := range controls {
		view := control.View()
		for i, at := range leftAt {
			if _, listed := view.Servers[fmt.Sprint("s", i)]; listed && time.Since(at) > bound {
				t.Fatalf("daemon %d still lists server %d, which left %v ago, want at most %v", n, i, time.Since(at), bound)
			}
		}
	}
}

func waitUntil(t *testing.T, limit time.Duration, done func() bool) {
	t.Helper()
	for began := time.Now(); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > limit {
			t.Fatalf("condition not met after %v", limit)
		}
	}
}
