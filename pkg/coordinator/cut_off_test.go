package coordinator

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/gateway"
	"trefoilferry.example/ferry/pkg/quarantine"
	"trefoilferry.example/ferry/pkg/serverlimit"
)

// cutOffFleet is the state of a holder that last reached the store that long ago.
type cutOffFleet struct {
	versionedFleet
	age time.Duration
}

func (f cutOffFleet) View() *gateway.View {
	v := f.versionedFleet.View()
	v.ServersAt, v.ConfigAt = v.ServersAt.Add(-f.age), v.ConfigAt.Add(-f.age)
	return v
}

// countingLease is a followerLease that counts how often the holder was given up.
type countingLease struct {
	followerLease
	lost *atomic.Int32
}

func (l countingLease) RecordHolderLost() { l.lost.Add(1) }

// Load pattern: the store is away for all daemons for seconds under full load. Guards against daemons that stop using
// the holder's view of the runners, work of the other daemons included, because the holder does not reach the store,
// and against a server list of such a holder that counts as current.
func TestViewOfCutOffHolderIsUsedForRunnersOnly(t *testing.T) {
	const bound = 5 * time.Second
	timing := gateway.NewPollTiming(bound)
	servers := map[string]fleet.Server{"one": {ID: "one", Service: "s", Address: "127.0.0.1:1", StartMillis: 1, Sequence: 1}}
	for age, cutOff := range map[time.Duration]bool{timing.ServerInterval: false, timing.MaxHolderAge + time.Millisecond: true} {
		holder := newHolder(7, 5, servers)
		holder.fleet = cutOffFleet{holder.fleet.(versionedFleet), age}
		web := httptest.NewServer(ferrypb.NewCoordinatorServer(holder))
		ctx, cancel := context.WithCancel(t.Context())
		control := gateway.NewControl(eventlog.Discard(), timing)
		go control.Run(ctx)
		lost := &atomic.Int32{}
		l := countingLease{followerLease{strings.TrimPrefix(web.URL, "http://")}, lost}
		reporter := NewReporter("d", l, nil, control, gateway.NewDemand(), gateway.NewTracker(), quarantine.NewBoard(), serverlimit.NewTable(rand.Float64), nil, nil, eventlog.Discard())
		reporter.report(ctx)
		waitUntil(t, 10*time.Second, func() bool { return control.View().Placement != nil })
		if p := control.View().Placement; len(p.Holdings) != 1 {
			t.Errorf("holder's state of age %v: placement %+v, want one runner", age, p)
		}
		// The control loop applies events in their order: once it shows this placement, it has applied the others.
		last := &gateway.Placement{}
		control.SetPlacement(ctx, last)
		waitUntil(t, 10*time.Second, func() bool { return control.View().Placement == last })
		view := control.View()
		if known := len(view.Servers) == 1; known == cutOff {
			t.Errorf("holder's state of age %v: server list used %v, want %v", age, known, !cutOff)
		}
		if givenUp := lost.Load() > 0; givenUp != cutOff {
			t.Errorf("holder's state of age %v: holder given up %v, want %v", age, givenUp, cutOff)
		}
		cancel()
		web.Close()
	}
}
