package coordinator

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/gateway"
	"trefoilferry.example/ferry/pkg/lease"
	"trefoilferry.example/ferry/pkg/quarantine"
	"trefoilferry.example/ferry/pkg/serverlimit"
)

// versionedFleet is a fixed list of servers with a version.
type versionedFleet struct {
	config  *fleet.Config
	servers map[string]fleet.Server
	version uint64
}

func (f versionedFleet) View() *gateway.View {
	now := time.Now()
	return &gateway.View{Config: f.config, Servers: f.servers, ServersKnown: true, ServersAt: now, ConfigAt: now, ServersVersion: f.version}
}

func (versionedFleet) PollServersFastUntil(time.Time) {}

// tenureLease is the lease of a holder with that fencing token.
type tenureLease struct {
	fixedLease
	token int64
}

func (l tenureLease) Tenure() int64 { return l.token }

// followerLease is the lease as seen by a daemon that follows the holder at that address.
type followerLease struct{ address string }

func (followerLease) Held() bool                { return false }
func (l followerLease) Holder() lease.Record    { return lease.Record{Holder: "h", Address: l.address} }
func (followerLease) RecordHolderContact(int64) {}
func (followerLease) RecordHolderLost()         {}
func (followerLease) SetDaemons(int)            {}

func newHolder(token int64, version uint64, servers map[string]fleet.Server) *Coordinator {
	config := &fleet.Config{Version: 1, Services: map[string]fleet.Service{"s": {Name: "s", Engine: testEngine()}}}
	c := New(Config{Holder: "h"}, versionedFleet{config: config, servers: servers, version: version}, tenureLease{token: token}, nil, eventlog.Discard())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.syncRunners(config, servers)
	c.viewVersion = version
	return c
}

// Guards against a daemon that misses changes after the holder restarted at the same address: versions of the earlier
// process were taken for versions of the later one, so that a server that had left meanwhile stayed in use.
func TestFollowerResyncsWithEachTenure(t *testing.T) {
	one := fleet.Server{ID: "one", Service: "s", Address: "127.0.0.1:1", StartMillis: 1, Sequence: 1}
	two := fleet.Server{ID: "two", Service: "s", Address: "127.0.0.1:2", StartMillis: 1, Sequence: 1}
	before := newHolder(7, 5, map[string]fleet.Server{"one": one, "two": two})
	after := newHolder(9, 6, map[string]fleet.Server{"two": two})
	var current atomic.Pointer[Coordinator]
	current.Store(before)
	holder := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ferrypb.NewCoordinatorServer(current.Load()).ServeHTTP(w, r)
	}))
	defer holder.Close()

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	control := gateway.NewControl(eventlog.Discard(), gateway.NewPollTiming(4*time.Second))
	go control.Run(ctx)
	reporter := NewReporter("d", followerLease{strings.TrimPrefix(holder.URL, "http://")}, nil, control, gateway.NewDemand(), gateway.NewTracker(), quarantine.NewBoard(), serverlimit.NewTable(rand.Float64), nil, nil, eventlog.Discard())

	wantServers := func(n int) {
		t.Helper()
		reporter.report(ctx)
		deadline := time.Now().Add(2 * time.Second)
		for time.Now().Before(deadline) {
			view := control.View()
			if len(view.Servers) == n && view.Placement != nil && len(view.Placement.Holdings) == n {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
		view := control.View()
		t.Fatalf("servers: %d, placement %+v, want %d servers in both", len(view.Servers), view.Placement, n)
	}
	wantServers(2)
	current.Store(after)
	wantServers(1)
}
