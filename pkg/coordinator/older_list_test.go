package coordinator

import (
	"sync/atomic"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/gateway"
)

// agedFleet is a server list that was last read at a time set by the test.
type agedFleet struct {
	versionedFleet
	readAt *atomic.Pointer[time.Time]
}

func (f agedFleet) View() *gateway.View {
	view := *f.versionedFleet.View()
	view.ServersAt, view.ConfigAt = *f.readAt.Load(), *f.readAt.Load()
	return &view
}

// Guards against a daemon that uses a server for good that has left: it started and read the entry from a restored store,
// while the holder, which knows of the removal, has read the store before it. The holder's complete list is then too old
// to remove servers, and later responses hold only what has changed.
func TestRemovalsInAnOlderListAreAskedForAgain(t *testing.T) {
	one := fleet.Server{ID: "one", Service: "s", Address: "127.0.0.1:1", StartMillis: 1, Sequence: 1}
	left := fleet.Server{ID: "left", Service: "s", Address: "127.0.0.1:2", StartMillis: 1, Sequence: 1}
	now := time.Now()
	readAt := &atomic.Pointer[time.Time]{}
	before, after := now.Add(-time.Second), now.Add(time.Second)
	readAt.Store(&before)
	servers := map[string]fleet.Server{"one": one}
	config := &fleet.Config{Version: 1, Services: map[string]fleet.Service{"s": {Name: "s", Engine: testEngine()}}}
	holder := New(Config{Holder: "h"}, agedFleet{versionedFleet{config: config, servers: servers, version: 5}, readAt}, tenureLease{token: 7}, nil, eventlog.Discard())
	f := newFollower(t.Context())
	f.control.ApplyRelayUpdate(t.Context(), &gateway.RelayUpdate{ServersAt: now,
		Servers: gateway.ServerChanges{Full: true, Changes: []gateway.ServerChange{{ID: "one", Server: one}, {ID: "left", Server: left}}}})
	waitUntil(t, time.Second, func() bool { return f.control.View().ServersKnown })
	f.reportTo(t, "h", holder)
	if n := len(f.control.View().Servers); n != 2 {
		t.Errorf("servers after an older list: %d, want the 2 of the daemon's own read", n)
	}
	readAt.Store(&after)
	f.reportTo(t, "h", holder)
	if view := f.control.View(); len(view.Servers) != 1 {
		t.Errorf("servers after a newer read of the holder: %v, want only the one that it lists", view.Servers)
	}
}
