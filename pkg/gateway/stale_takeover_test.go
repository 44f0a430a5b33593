package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/quarantine"
	"trefoilferry.example/ferry/pkg/serverlimit"
)

// Guards against a request of a silent server that is offered to one that has left or restarted. The offer is sent as soon
// as its server is chosen, so the view at that time counts.
func TestTakeoverServerThatLeftGetsNoRequest(t *testing.T) {
	for name, change := range map[string]func(view *View){
		"draining":  func(v *View) { s := v.Servers["r1"]; s.Draining = true; v.Servers["r1"] = s },
		"restarted": func(v *View) { s := v.Servers["r1"]; s.StartMillis++; s.Models = nil; v.Servers["r1"] = s },
		"gone":      func(v *View) { delete(v.Servers, "r1"); v.ByService["llm"] = []string{"r0"} },
		"unchanged": func(*View) {},
	} {
		t.Run(name, func(t *testing.T) {
			control := NewControl(eventlog.Discard(), NewPollTiming(time.Second))
			later := modelView(2)
			change(later)
			control.view.Store(later)
			f := &Forwarder{control: control, log: eventlog.Discard(), chooser: testChooser(), board: quarantine.NewBoard(), demand: NewDemand(),
				metrics: NewMetrics(prometheus.NewRegistry()), budgets: newBudgets(BudgetLimits{Slack: 100, Window: time.Second}),
				backend: &backend{tracker: NewTracker(), limits: serverlimit.NewTable(rand.Float64)}}
			j, p := modelJob("id", "", 10, 10), &progress{outcome: failure.NotRun, relay: &streamRelay{}}
			next := f.takeOver(j, &choice{server: later.Servers["r0"]}, p, silence{length: time.Second})
			if want := name == "unchanged"; (next != nil) != want {
				t.Errorf("offered to %v; want r1: %v", next, want)
			}
		})
	}
}

// Guards against a request that is lost with a takeover although its silent server may still serve it: that one may be
// asked again if the next server did not run the request, and only then.
func TestSilentServerIsAskedAgainAfterARefusedTakeover(t *testing.T) {
	for outcome, again := range map[failure.Outcome]bool{failure.NotRun: true, failure.Unknown: false, failure.Ran: false} {
		j, p := modelJob("id", "", 10, 10), &progress{relay: &streamRelay{}}
		silent, next := &choice{server: fleet.Server{ID: "r0"}}, &choice{server: fleet.Server{ID: "r1"}}
		p.next = &attempt{choice: next}
		p.recordTried(j, silent, failure.New(failure.ConnectionLost, failure.Unknown, "test"))
		if !j.tried["r0"] {
			t.Error("the silent server may be asked during the takeover, want it excluded")
		}
		p.next = nil
		p.recordTried(j, next, failure.New(failure.Overloaded, outcome, "test"))
		if j.tried["r0"] == again || !j.tried["r1"] {
			t.Errorf("takeover with outcome %s: tried %v, want the silent server asked again: %v", outcome, j.tried, again)
		}
	}
}
