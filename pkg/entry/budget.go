package entry

import (
	"sync"
	"time"

	"trefoilferry.example/ferry/pkg/retry"
)

// sharedBudget is the retry budget of all requests of the daemon.
type sharedBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

func newSharedBudget(limits retry.Limits, now time.Time) *sharedBudget {
	return &sharedBudget{budget: retry.NewBudget(limits, now)}
}

func (b *sharedBudget) request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Request(now)
}

// take spends a retry; without one it returns the time until the next.
func (b *sharedBudget) take(now time.Time) (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.budget.Take(now) {
		return true, 0
	}
	return false, b.budget.RetryAfter(now)
}
