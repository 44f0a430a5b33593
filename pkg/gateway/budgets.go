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
	// assumedDaemons divides the slack until the number of daemons is known.
	assumedDaemons = 32
)

// budgets holds this daemon's share of the retry budget of each service. It is safe for concurrent use.
type budgets struct {
	limits    BudgetLimits
	mu        sync.Mutex
	byService map[string]*retry.WindowBudget
}

func newBudgets(limits BudgetLimits) *budgets {
	return &budgets{limits: limits, byService: map[string]*retry.WindowBudget{}}
}

// share returns this daemon's part of the limits when that many daemons share the slack (0 if unknown).
func (b *budgets) share(daemons int) retry.WindowLimits {
	if daemons <= 0 {
		daemons = assumedDaemons
	}
	return retry.WindowLimits{Ratio: b.limits.Ratio * budgetSafetyFactor, Slack: b.limits.Slack * budgetSafetyFactor / float64(daemons)}
}

func (b *budgets) forService(service string) *retry.WindowBudget {
	budget, ok := b.byService[service]
	if !ok {
		budget = retry.NewWindowBudget(b.limits.Window)
		b.byService[service] = budget
	}
	return budget
}

// recordRequest adds a caller's request, which permits Ratio further retries.
func (b *budgets) recordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forService(service).RecordRequest(now)
}

// take spends one retry and reports whether the budget had one.
func (b *budgets) take(service string, daemons int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.forService(service).Take(b.share(daemons), now)
}
