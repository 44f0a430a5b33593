package gateway

import (
	"testing"
	"time"
)

// Load pattern: a service fails all requests while callers go on sending them. Guards against more retries in any
// window than BudgetLimits permit to all daemons together.
func TestRetriesOfAllDaemonsStayWithinBudget(t *testing.T) {
	for _, c := range []struct {
		daemons int
		slack   float64
	}{{4, 54}, {5, 58}, {31, 102}, {60, 102}, {103, 246}, {350, 246}} {
		requireRetriesWithinBudget(t, c.daemons, BudgetLimits{Ratio: 0.2, Slack: c.slack, Window: 10 * time.Second})
	}
}

func requireRetriesWithinBudget(t *testing.T, daemons int, limits BudgetLimits) {
	t.Helper()
	const perSecond = 3
	var taken []time.Time
	for range daemons {
		b := newBudgets(limits)
		for step := range 30 * perSecond {
			at := now.Add(time.Duration(step) * time.Second / perSecond)
			b.recordRequest("s", at)
			for b.take("s", daemons, at) {
				taken = append(taken, at)
			}
		}
	}
	for start := time.Duration(0); start < 20*time.Second; start += 500 * time.Millisecond {
		n := 0
		for _, at := range taken {
			if d := at.Sub(now) - start; d >= 0 && d < limits.Window {
				n++
			}
		}
		bound := limits.Ratio*perSecond*float64(daemons)*limits.Window.Seconds() + limits.Slack
		if float64(n) > bound {
			t.Errorf("%d daemons: %d retries in the window from %v, want at most %v", daemons, n, start, bound)
		}
	}
	if len(taken) == 0 {
		t.Error("retries of all daemons: 0, want some")
	}
}

// Load pattern: some servers of a plain service answer 500 for two seconds, at 103 entry hosts with 2 requests a second
// each. Guards against reads that fail although a retry is permitted and the budget of all daemons is almost unused: a
// token bucket that holds each daemon's small share of the slack forgets what its requests would permit (102 of 1,443
// reads failed on quiet-1 of apdd-orders-large).
func TestFailuresWithinSecondsAreRetried(t *testing.T) {
	const daemons, perSecond, failing = 103, 2, 5 * time.Second
	b := newBudgets(BudgetLimits{Ratio: 0.2, Slack: 246, Window: 10 * time.Second})
	failed, retried := 0, 0
	for step := range 20 * perSecond {
		at := now.Add(time.Duration(step) * time.Second / perSecond)
		b.recordRequest("s", at)
		if since := at.Sub(now) - 10*time.Second; since >= 0 && since < failing && step%2 == 0 {
			failed++
			if b.take("s", daemons, at) {
				retried++
			}
		}
	}
	if failed != 5 || retried != failed {
		t.Errorf("retries of %d failures among %d requests: %d, want all", failed, 20*perSecond, retried)
	}
}

// Guards against services that share one budget.
func TestServicesHaveSeparateBudgets(t *testing.T) {
	b := newBudgets(BudgetLimits{Ratio: 0.2, Slack: 58, Window: 10 * time.Second})
	for b.take("a", 5, now) {
		continue
	}
	if !b.take("b", 5, now) {
		t.Error("retry at service b refused after the budget of service a was spent, want it permitted")
	}
}
