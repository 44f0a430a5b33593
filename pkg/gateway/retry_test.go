package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/serverlimit"
)

// Load pattern: a quarter of the runners crash under load. Guards against requests that are refused because the retry
// budget is spent although their first attempt reached no server (340 refusals within three seconds on scale-1 of
// apdd-orders-grown), and against retries of refused or lost attempts that spend no budget.
func TestOnlyArrivalsSpendRetryBudget(t *testing.T) {
	f := &Forwarder{control: NewControl(eventlog.Discard(), NewPollTiming(time.Second)), log: eventlog.Discard(),
		budgets: newBudgets(BudgetLimits{Ratio: 0, Slack: 10, Window: 10 * time.Second})}
	fail := func(code failure.Code, outcome failure.Outcome) *failure.Failure {
		return failure.New(code, outcome, "test")
	}
	retriesAfter := func(fails ...*failure.Failure) bool {
		j, p := modelJob("id", "", 10, 10), &progress{outcome: failure.NotRun, relay: &streamRelay{}}
		last := false
		for _, one := range fails {
			p.record("r0", attemptResult{fail: one})
			last = f.allowRetry(j, p, one)
		}
		return last
	}
	unreachedOnce := fail(failure.ConnectFailed, failure.NotRun)
	for n := 0; f.budgets.take("llm", 0, time.Now()); n++ {
		if n > 100 {
			t.Fatalf("retries granted by a budget with a slack of 10: %d, want at most 10", n)
		}
	}
	for n := range 50 {
		if !retriesAfter(unreachedOnce) {
			t.Fatalf("request %d: no retry after a failed connection, want one without a budget", n)
		}
	}
	for _, one := range []*failure.Failure{fail(failure.WrongIncarnation, failure.NotRun), fail(failure.Overloaded, failure.NotRun),
		fail(failure.Truncated, failure.Unknown)} {
		if retriesAfter(one) {
			t.Errorf("retried without a budget after %v, want no retry", one)
		}
	}
	var many []*failure.Failure
	for range maxUnreachedAttempts + 1 {
		many = append(many, unreachedOnce)
	}
	if retriesAfter(many...) {
		t.Errorf("retry after %d failed connections, want none after more than %d", len(many), maxUnreachedAttempts)
	}
}

// Guards against requests that are refused at once when the only runner with their adapter cannot be reached, although
// another one can load it within milliseconds.
func TestUnreachedRequestWaitsForAnotherRunner(t *testing.T) {
	view, work := modelView(2), NewTracker()
	control := NewControl(eventlog.Discard(), NewPollTiming(time.Second))
	control.view.Store(view)
	view.Changed = make(chan struct{})
	f := &Forwarder{control: control, log: eventlog.Discard(), chooser: testChooser(), demand: NewDemand(), backend: &backend{tracker: work, limits: serverlimit.NewTable(rand.Float64)}}
	j, p := modelJob("id", "a0", 10, 10), &progress{outcome: failure.NotRun, relay: &streamRelay{}}
	j.deadline = time.Now().Add(4 * time.Second)
	p.record("r0", attemptResult{fail: failure.New(failure.ConnectFailed, failure.NotRun, "test")})
	j.tried["r0"] = true
	go func() {
		time.Sleep(50 * time.Millisecond)
		next := *view
		next.Placement = &Placement{Holdings: map[string]Holding{"r1": {BornMillis: 1, Models: map[string]bool{"m": true}, Adapters: map[string]bool{"m/a0": true}}}}
		next.PlacementAt = time.Now()
		control.publish(&next)
	}()
	c, fail := f.pickServer(t.Context(), j, p)
	if fail != nil || c.server.ID != "r1" {
		t.Fatal(fmt.Sprint("server chosen once r1 has loaded the adapter: ", c, ", want r1; failure: ", fail))
	}
}
