package entry

import (
	"sync"
	"time"

	"trefoilferry.example/ferry/pkg/retry"
)

// targetPart is the part of the time's retries and of the burst that one target may spend.
const targetPart = 0.25

// sharedBudget is the retry budget of all requests of the daemon. Each target has a smaller one of its own besides, so
// that a member which floods and is refused does not use up the retries of the others.
type sharedBudget struct {
	mu     sync.Mutex
	limits retry.Limits
	all    *retry.Budget
	// targets holds one budget for each target that was requested; resolved targets are bounded by the configuration.
	targets map[string]*retry.Budget
}

func newSharedBudget(limits retry.Limits, now time.Time) *sharedBudget {
	return &sharedBudget{limits: limits, all: retry.NewBudget(limits, now), targets: map[string]*retry.Budget{}}
}

func (b *sharedBudget) request(now time.Time, target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all.Request(now)
	b.of(now, target).Request(now)
}

// take spends a retry; without one it returns the time until the next.
func (b *sharedBudget) take(now time.Time, target string) (bool, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.of(now, target)
	if !own.Take(now) {
		return false, own.RetryAfter(now)
	}
	if !b.all.Take(now) {
		return false, b.all.RetryAfter(now)
	}
	return true, 0
}

func (b *sharedBudget) of(now time.Time, target string) *retry.Budget {
	budget, ok := b.targets[target]
	if !ok {
		limits := b.limits
		limits.PerSecond *= targetPart
		limits.Burst = max(1, limits.Burst*targetPart)
		budget = retry.NewBudget(limits, now)
		b.targets[target] = budget
	}
	return budget
}
