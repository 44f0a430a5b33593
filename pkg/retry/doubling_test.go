package retry

import (
	"testing"
	"time"
)

// Guards against pauses that overflow after many failures, and against a first pause that is already long.
func TestDoublingStaysInRange(t *testing.T) {
	for _, c := range []struct {
		failures int
		want     time.Duration
	}{{-1, 250 * time.Millisecond}, {0, 250 * time.Millisecond}, {1, 500 * time.Millisecond}, {3, 2 * time.Second}, {4, 3 * time.Second}, {1 << 40, 3 * time.Second}} {
		if got := Doubling(250*time.Millisecond, 3*time.Second, c.failures); got != c.want {
			t.Errorf("%d failures: %v, want %v", c.failures, got, c.want)
		}
	}
}
