package allowance

import (
	"testing"
	"time"
)

var (
	simSizes  = []int{5, 24, 100}
	simLimits = []Limit{{Rate: 29_000, Burst: 29_000}, {Rate: 120_000, Burst: 120_000}, {Rate: 500_000, Burst: 500_000}}
)

// Load pattern: a workspace asks for 0.4 and 0.9 of its quota at all daemons alike, then for six times its quota at all of
// them, then at one. Guards against parts that lie unused while requests elsewhere are refused, and against a sum of parts
// beyond the quota.
func TestFleetUsesTheQuota(t *testing.T) {
	for _, daemons := range simSizes {
		for _, limit := range simLimits {
			f := newSimFleet(daemons, limit, 1)
			f.play(0, 2*lendTime)
			f.play(0.4*limit.Rate, 20*time.Second)
			f.share(t, "0.4 of the quota", 0.95)
			f.play(0.9*limit.Rate, 20*time.Second)
			f.share(t, "0.9 of the quota", 0.95)
			f.play(6*limit.Rate, 20*time.Second)
			f.share(t, "six times the quota", overloadShare(daemons, limit))
			f.weight = func(d int) float64 { return float64(max(1-d, 0)) }
			f.play(6*limit.Rate, 20*time.Second)
			f.share(t, "six times the quota at one daemon", 0.95)
			f.check(t, limit)
		}
	}
}

// overloadShare returns what must be used of a quota by six times the demand. A daemon of a hundred that gets a request in
// three seconds reports every 270 ms, longer than requests wait.
func overloadShare(daemons int, limit Limit) float64 {
	if daemons >= 100 && limit.Rate < 100_000 {
		return 0.8
	}
	return 0.95
}
