package entry

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/retry"
)

// Guards against one target that uses up the retries of all others.
func TestRetryBudgetPerTarget(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newRetryBudget(retry.DefaultLimits, now)
	spent := 0
	for range 100 {
		b.recordRequest(now, "flood")
		if ok, _ := b.take(now, "flood"); ok {
			spent++
		}
	}
	if spent > 15 {
		t.Errorf("retries of one target from a burst of 20: %d, want at most 15", spent)
	}
	for i := range 3 {
		if ok, wait := b.take(now, "other"); !ok {
			t.Fatalf("retry %d of another target refused for %v, want it allowed", i, wait)
		}
	}
}
