package gateway

import (
	"sync"
	"time"

	"trefoilferry.example/ferry/pkg/retry"
)

// BudgetLimits bound the repeated arrivals at one service over all daemons in a sliding window.
type BudgetLimits struct {
	// Ratio is the share of the requests that may arrive once more.
	Ratio float64
	// Slack is the number of repeats allowed beyond Ratio in a window.
	Slack  float64
	Window time.Duration
}

const (
	// budgetShare is the part of the allowance that is used; the rest covers requests that shift between daemons.
	budgetShare = 0.85
	// slackAtOnce is the part of the slack that may be spent at once; the rest accrues over the window.
	slackAtOnce = 0.6
	// assumedDaemons divides the slack until the number of daemons is known.
	assumedDaemons = 32
)

// budgets holds this daemon's share of the retry budget of each service. It is safe for concurrent use.
type budgets struct {
	limits BudgetLimits
	mu     sync.Mutex
	byName map[string]*retry.Budget
}

func newBudgets(limits BudgetLimits) *budgets {
	return &budgets{limits: limits, byName: map[string]*retry.Budget{}}
}

// of returns the budget of a service. daemons is the number of daemons that share the slack; 0 if it is not known.
func (b *budgets) of(service string, daemons int, now time.Time) *retry.Budget {
	if daemons <= 0 {
		daemons = assumedDaemons
	}
	slack := b.limits.Slack * budgetShare / float64(daemons)
	limits := retry.Limits{
		Ratio:     b.limits.Ratio * budgetShare,
		PerSecond: slack * (1 - slackAtOnce) / max(b.limits.Window.Seconds(), 1),
		Burst:     max(slack*slackAtOnce, 1),
	}
	budget, ok := b.byName[service]
	if !ok {
		budget = retry.NewBudget(limits, now)
		b.byName[service] = budget
	}
	budget.SetLimits(limits, now)
	return budget
}

// request accounts a caller's request.
func (b *budgets) request(service string, daemons int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service, daemons, now).Request(now)
}

// take spends one repeat and reports whether there was one.
func (b *budgets) take(service string, daemons int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service, daemons, now).Take(now)
}
