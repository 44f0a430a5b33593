package coordinator

import (
	"testing"
	"time"
)

// Load pattern: from a few entry hosts to the target size. Guards against reports that become so many that the holder does
// nothing else, and against reports so rare that daemons send long prompts to one runner before they learn of each other.
func TestReportsOfAllDaemonsStayBounded(t *testing.T) {
	const most = 510.0 // reports per second at the holder
	for _, daemons := range []int{0, 1, 5, 30, 31, 60, 100, 350} {
		period := (&Reporter{daemons: daemons}).period()
		if rate := float64(daemons) / period.Seconds(); rate > most {
			t.Errorf("%d daemons send %.0f reports a second", daemons, rate)
		}
		if daemons <= 31 && period > 65*time.Millisecond {
			t.Errorf("%d daemons report each %v", daemons, period)
		}
	}
}
