package entry

import (
	"sync"
	"time"

	"trefoilferry.example/ferry/pkg/retry"
)

// targetShare is the share of the retries per second and of the burst that a single target may use.
const targetShare = 0.25

// retryBudget limits the retries of the daemon, in total and for each target. The limit per target keeps a flood of
// refused requests to one target from using up the retries of all others.
type retryBudget struct {
	mu     sync.Mutex
	limits retry.Limits
	global *retry.Budget
	// perTarget holds a budget for each target requested so far. Its size is bounded, because only configured targets
	// reach the dispatcher.
	perTarget map[string]*retry.Budget
}

func newRetryBudget(limits retry.Limits, now time.Time) *retryBudget {
	return &retryBudget{limits: limits, global: retry.NewBudget(limits, now), perTarget: map[string]*retry.Budget{}}
}

// recordRequest adds the retries that a new request earns to both budgets.
func (b *retryBudget) recordRequest(now time.Time, target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.global.RecordRequest(now)
	b.forTarget(now, target).RecordRequest(now)
}

// take uses a retry of the target and of the whole daemon. If none is left, it returns false and the time until the next.
func (b *retryBudget) take(now time.Time, target string) (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	targetBudget := b.forTarget(now, target)
	if !targetBudget.Take(now) {
		return false, targetBudget.RetryAfter(now)
	}
	if !b.global.Take(now) {
		return false, b.global.RetryAfter(now)
	}
	return true, 0
}

func (b *retryBudget) forTarget(now time.Time, target string) *retry.Budget {
	budget, ok := b.perTarget[target]
	if !ok {
		limits := b.limits
		limits.PerSecond *= targetShare
		limits.Burst = max(1, limits.Burst*targetShare)
		budget = retry.NewBudget(limits, now)
		b.perTarget[target] = budget
	}
	return budget
}
