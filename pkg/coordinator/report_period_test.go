package coordinator

import (
	"testing"
	"time"
)

// Load pattern: from a few entry hosts to the target size. Guards against so many reports that the holder does nothing
// else, and against reports so rare that daemons send long prompts to one runner before they learn of each other.
func TestReportsOfAllDaemonsStayBounded(t *testing.T) {
	const maxRate = 510.0 // reports per second at the holder
	for _, daemons := range []int{0, 1, 5, 30, 31, 60, 100, 350} {
		period := (&Reporter{daemons: daemons}).reportInterval()
		if rate := float64(daemons) / period.Seconds(); rate > maxRate {
			t.Errorf("reports of %d daemons: %.0f per second, want at most %.0f", daemons, rate, maxRate)
		}
		if daemons <= 31 && period > 65*time.Millisecond {
			t.Errorf("report interval of %d daemons: %v, want at most 65ms", daemons, period)
		}
	}
}
