package gateway

import (
	"sync"
	"time"

	"trefoilferry.example/ferry/pkg/retry"
)

// BudgetLimits bound the retries that arrive at one service from all daemons together within a sliding window.
type BudgetLimits struct {
	// Ratio is the number of retries permitted for each request.
	Ratio float64
	// Slack is the number of retries permitted per window in addition to Ratio.
	Slack  float64
	Window time.Duration
}

const (
	// budgetSafetyFactor is the part of the limits that is used; the rest covers requests that shift between daemons.
	budgetSafetyFactor = 0.85
	// slackBurstShare is the part of the slack that may be spent in one burst; the rest accrues over the window.
	slackBurstShare = 0.6
	// assumedDaemons divides the slack until the number of daemons is known.
	assumedDaemons = 32
)

// budgets holds this daemon's share of the retry budget of each service. It is safe for concurrent use.
type budgets struct {
	limits    BudgetLimits
	mu        sync.Mutex
	byService map[string]*retry.Budget
}

func newBudgets(limits BudgetLimits) *budgets {
	return &budgets{limits: limits, byService: map[string]*retry.Budget{}}
}

// forService returns the budget of a service, with its limits set for the number of daemons that share the slack
// (0 if unknown).
func (b *budgets) forService(service string, daemons int, now time.Time) *retry.Budget {
	if daemons <= 0 {
		daemons = assumedDaemons
	}
	slack := b.limits.Slack * budgetSafetyFactor / float64(daemons)
	limits := retry.Limits{
		Ratio:     b.limits.Ratio * budgetSafetyFactor,
		PerSecond: slack * (1 - slackBurstShare) / max(b.limits.Window.Seconds(), 1),
		Burst:     max(slack*slackBurstShare, 1),
	}
	budget, ok := b.byService[service]
	if !ok {
		budget = retry.NewBudget(limits, now)
		b.byService[service] = budget
	}
	budget.SetLimits(limits, now)
	return budget
}

// recordRequest adds a caller's request, which permits Ratio further retries.
func (b *budgets) recordRequest(service string, daemons int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forService(service, daemons, now).RecordRequest(now)
}

// take spends one retry and reports whether the budget had one.
func (b *budgets) take(service string, daemons int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.forService(service, daemons, now).Take(now)
}
