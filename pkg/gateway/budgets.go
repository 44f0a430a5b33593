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
	budgetShare = 0.8
	// slackAtOnce is the part of the slack that may be spent at once; the rest accrues over the window.
	slackAtOnce = 0.5
	// assumedDaemons divides the slack until the number of daemons is known.
	assumedDaemons = 8
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

func (b *budgets) of(service string, now time.Time) *retry.Budget {
	budget, ok := b.byName[service]
	if !ok {
		slack := b.limits.Slack * budgetShare / assumedDaemons
		budget = retry.NewBudget(retry.Limits{
			Ratio:     b.limits.Ratio * budgetShare,
			PerSecond: slack * (1 - slackAtOnce) / max(b.limits.Window.Seconds(), 1),
			Burst:     max(slack*slackAtOnce, 1),
		}, now)
		b.byName[service] = budget
	}
	return budget
}

// request accounts a caller's request.
func (b *budgets) request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(service, now).Request(now)
}

// take spends one repeat and reports whether there was one.
func (b *budgets) take(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.of(service, now).Take(now)
}
