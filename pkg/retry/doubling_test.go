package retry

import (
	"testing"
	"time"
)

// Guards against delays that overflow after many failures, and against a first delay that is already doubled.
func TestDoublingStaysInRange(t *testing.T) {
	for _, c := range []struct {
		failures int
		want     time.Duration
	}{{-1, 250 * time.Millisecond}, {0, 250 * time.Millisecond}, {1, 500 * time.Millisecond}, {3, 2 * time.Second}, {4, 3 * time.Second}, {1 << 40, 3 * time.Second}} {
		if got := DoublingDelay(250*time.Millisecond, 3*time.Second, c.failures); got != c.want {
			t.Errorf("delay after %d failures: %v, want %v", c.failures, got, c.want)
		}
	}
}
