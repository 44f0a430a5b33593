package gateway

import (
	"testing"
	"time"
)

// Load pattern: a service fails everything while callers go on. Guards against more repeated arrivals in any window
// than all daemons together may send.
func TestRepeatsOfAllDaemonsStayInTheWindow(t *testing.T) {
	for _, c := range []struct {
		daemons int
		slack   float64
	}{{4, 54}, {5, 58}, {31, 102}, {60, 102}} {
		requireRepeatsInWindow(t, c.daemons, BudgetLimits{Ratio: 0.2, Slack: c.slack, Window: 10 * time.Second})
	}
}

func requireRepeatsInWindow(t *testing.T, daemons int, limits BudgetLimits) {
	t.Helper()
	const perSecond = 3
	var taken []time.Time
	for range daemons {
		b := newBudgets(limits)
		for step := range 30 * perSecond {
			at := now.Add(time.Duration(step) * time.Second / perSecond)
			b.request("s", daemons, at)
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
			t.Errorf("%d daemons: %d repeats in the window from %v, allowed %v", daemons, n, start, bound)
		}
	}
	if len(taken) == 0 {
		t.Error("no repeat was allowed at all")
	}
}

// Guards against services that share one budget.
func TestBudgetsAreApart(t *testing.T) {
	b := newBudgets(BudgetLimits{Ratio: 0.2, Slack: 58, Window: 10 * time.Second})
	for b.take("a", 5, now) {
		continue
	}
	if !b.take("b", 5, now) {
		t.Error("repeats at one service used up the budget of another")
	}
}
