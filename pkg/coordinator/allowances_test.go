package coordinator

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/allowance"
	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/gateway"
	"trefoilferry.example/ferry/pkg/quarantine"
	"trefoilferry.example/ferry/pkg/serverlimit"
)

// agingLease is the lease of a holder whose last confirmed renewal has an age that the test sets.
type agingLease struct {
	tenureLease
	age *atomic.Int64
}

func (l agingLease) ConfirmedAge() time.Duration { return time.Duration(l.age.Load()) }

// Load pattern: a daemon's requests wait for units of a workspace while its holder answers over the network, while it may have
// been replaced, and after its next renewal. Guards against units that are not asked for until the next usual report, and
// against a holder that lends beside the next one. One daemon that no longer reports is enough to suspend the lending.
func TestHolderLendsAllowances(t *testing.T) {
	config := &fleet.Config{Version: 1, Workspaces: []fleet.Workspace{{Name: "a", Quota: fleet.Quota{Rate: 1000, Burst: 1000}}, {Name: "b"}}}
	age := &atomic.Int64{}
	lines := &bytes.Buffer{}
	holder := New(Config{Holder: "h"}, fixedFleet{config: config}, agingLease{tenureLease{token: 1}, age}, nil, eventlog.NewLogger(lines, eventlog.FormatText, log.InfoLevel, "h"))
	server := httptest.NewServer(ferrypb.NewCoordinatorServer(holder))
	defer server.Close()
	table := allowance.NewTable()
	limits := gateway.AllowanceLimits(config, gateway.QuotaBound{})
	if len(limits) != 1 {
		t.Fatalf("limits %v, want that of workspace/a alone", limits)
	}
	table.SetLimits(limits)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	control := gateway.NewControl(eventlog.Discard(), gateway.NewPollTiming(2*time.Second))
	reporter := NewReporter("d", followerLease{strings.TrimPrefix(server.URL, "http://")}, nil, control, gateway.NewDemand(), gateway.NewTracker(), quarantine.NewBoard(), serverlimit.NewTable(rand.Float64), nil, table, eventlog.Discard())
	go reporter.Run(ctx)
	take := func(units float64, within time.Duration) bool {
		done := table.Await("workspace/a", units)
		defer done()
		for began := time.Now(); time.Since(began) < within; {
			changed := table.Changed()
			if table.Take("workspace/a", units, clock.Uptime()).Taken {
				return true
			}
			select {
			case <-changed:
			case <-time.After(20 * time.Millisecond):
			}
		}
		return false
	}
	if !take(300, 2*time.Second) {
		t.Fatal("no units within 2 s")
	}
	if _, err := holder.Report(ctx, &ferrypb.LoadReport{Daemon: "gone"}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(followIntervals * baseReportInterval)
	age.Store(int64(lendWhile))
	// Later the daemon may use what it gains without a holder.
	if take(900, 150*time.Millisecond) {
		t.Error("units were lent by a holder that may have been replaced")
	}
	age.Store(0)
	if !take(300, 2*time.Second) {
		t.Error("no units within 2 s of the next renewal")
	}
	if take(900, 300*time.Millisecond) {
		t.Error("900 units were lent at once of 1000 a second")
	}
	cancel()
	server.Close()
	for _, want := range []string{"F0333", "F0335", "F0336"} {
		if !strings.Contains(lines.String(), want) {
			t.Errorf("no event %s in the log:\n%s", want, lines)
		}
	}
}
