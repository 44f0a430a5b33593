package entry

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/retry"
)

// Guards against a member that spends the retries of all others.
func TestBudgetOfTargets(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newSharedBudget(retry.DefaultLimits, now)
	spent := 0
	for range 100 {
		b.request(now, "flood")
		if ok, _ := b.take(now, "flood"); ok {
			spent++
		}
	}
	if spent > 15 {
		t.Errorf("the flood spent %d retries of a burst of 20", spent)
	}
	for i := range 3 {
		if ok, wait := b.take(now, "other"); !ok {
			t.Fatalf("retry %d of another target waits %v", i, wait)
		}
	}
}
