package serverlimit

import (
	"testing"
	"time"
)

// Load pattern: a server has room until its callers send six times its limit, just while the lease holder is lost; then
// another holder comes after 0.7 s, or the same one answers again after 3 s. Guards against daemons that each use what is
// left of the limit while they can't know of the others (43 requests in 4 s at 31 daemons where 30 are allowed), and
// against a holder whose first totals are taken for those of all daemons.
func TestLimitHoldsWhileTheHolderIsLost(t *testing.T) {
	for name, c := range map[string]struct {
		lost    time.Duration
		replace bool
	}{"replaced": {700 * time.Millisecond, true}, "returns": {3 * time.Second, false}} {
		for _, daemons := range simSizes {
			for _, limit := range []float64{1.6, 4.2, 20} {
				f := newSimFleet(daemons, limit)
				for _, table := range f.tables {
					table.Observe("s", Observation{Rate: limit, At: f.now})
				}
				began := f.now
				for range 2 {
					f.play(limit/2, 4*time.Second)
					f.holderLost = true
					f.play(6*limit, c.lost)
					f.holderLost = false
					if c.replace {
						f.replaceHolder()
					}
					f.play(3*limit, 4*time.Second)
				}
				f.check(t, name, began.Add(4*time.Second))
				// As without a loss of the holder, half of what callers send within the limit must be served.
				within := 2 * limit * (4.0/2 + c.lost.Seconds() + 4)
				if n := len(f.sends); float64(n) < within/2 {
					t.Errorf("%s, %d daemons, limit %v: %d requests sent of %v within the limit, want half of them or more", name, daemons, limit, n, within)
				}
			}
		}
	}
}
