package gateway

import (
	"fmt"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
)

// Load pattern: a quarter of the runners crash under load. Guards against requests that are refused because the budget
// for repeated arrivals is spent, although their first attempt reached no server (340 refusals within three seconds on
// scale-1 of apdd-orders-grown), and against refused or lost attempts that are repeated without a budget.
func TestOnlyArrivalsNeedRetryBudget(t *testing.T) {
	f := &Forwarder{control: NewControl(eventlog.Discard(), NewPace(time.Second)), log: eventlog.Discard(),
		budgets: newBudgets(BudgetLimits{Ratio: 0, Slack: 10, Window: 10 * time.Second})}
	fail := func(code failure.Code, outcome failure.Outcome) *failure.Failure {
		return failure.New(code, outcome, "test")
	}
	repeats := func(fails ...*failure.Failure) bool {
		j, p := modelJob("id", "", 10, 10), &progress{outcome: failure.NotRun, relay: &relay{}}
		last := false
		for _, one := range fails {
			p.note(attempt{fail: one})
			last = f.again(j, p, one)
		}
		return last
	}
	unreachedOnce := fail(failure.ConnectFailed, failure.NotRun)
	for n := 0; f.budgets.take("llm", 0, time.Now()); n++ {
		if n > 100 {
			t.Fatal("the budget never ends")
		}
	}
	for n := range 50 {
		if !repeats(unreachedOnce) {
			t.Fatalf("request %d is given up although no server was reached", n)
		}
	}
	for _, one := range []*failure.Failure{fail(failure.WrongIncarnation, failure.NotRun), fail(failure.Overloaded, failure.NotRun),
		fail(failure.Truncated, failure.Unknown)} {
		if repeats(one) {
			t.Errorf("repeated without a budget after %v", one)
		}
	}
	var many []*failure.Failure
	for range unreachedTries + 1 {
		many = append(many, unreachedOnce)
	}
	if repeats(many...) {
		t.Errorf("%d connections are tried for one request", len(many)+1)
	}
}

// Guards against requests that are refused at once when the only runner with their adapter cannot be reached: another
// one can load it within milliseconds.
func TestUnreachedRequestAwaitsAnotherHolder(t *testing.T) {
	view, work := modelView(2), NewTracker()
	control := NewControl(eventlog.Discard(), NewPace(time.Second))
	control.view.Store(view)
	view.Changed = make(chan struct{})
	f := &Forwarder{control: control, log: eventlog.Discard(), chooser: testChooser(), demand: NewDemand(), backend: &backend{tracker: work}}
	j, p := modelJob("id", "a0", 10, 10), &progress{outcome: failure.NotRun, relay: &relay{}}
	j.deadline = time.Now().Add(4 * time.Second)
	p.note(attempt{fail: failure.New(failure.ConnectFailed, failure.NotRun, "test")})
	j.tried["r0"] = true
	go func() {
		time.Sleep(50 * time.Millisecond)
		next := *view
		next.Placement = &Placement{Holdings: map[string]Holding{"r1": {BornMillis: 1, Models: map[string]bool{"m": true}, Adapters: map[string]bool{"m/a0": true}}}}
		next.PlacementAt = time.Now()
		control.publish(&next)
	}()
	c, fail := f.pick(t.Context(), j, p)
	if fail != nil || c.server.ID != "r1" {
		t.Fatal(fmt.Sprint("no other holder was awaited: ", fail))
	}
}
