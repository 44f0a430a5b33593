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
// beyond the quota; and, in usual load, against reports that name each allowance every time (a use and its grant take about
// 58 bytes).
func TestFleetUsesTheQuota(t *testing.T) {
	t.Parallel()
	for _, daemons := range simSizes {
		for _, limit := range simLimits {
			f := newSimFleet(daemons, limit, 1)
			f.play(0, 2*lendTime)
			f.entries = 0
			f.play(0.4*limit.Rate, 20*time.Second)
			f.share(t, "0.4 of the quota", 0.95)
			if entries := float64(f.entries) / 20 / float64(daemons); entries > 1.7 {
				t.Errorf("%d daemons, rate %.0f: %.2f entries a second in the reports of a daemon, want at most 1.7", daemons, limit.Rate, entries)
			}
			f.play(0.9*limit.Rate, 20*time.Second)
			f.share(t, "0.9 of the quota", 0.95)
			f.play(6*limit.Rate, 20*time.Second)
			f.share(t, "six times the quota", overloadShare(daemons, limit))
			f.hot = 0
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

// Load pattern: all of a workspace's requests, 0.9 of its quota, move to another daemon every second. Guards against units
// that stay with the daemon that had the demand before.
func TestFleetFollowsMovingDemand(t *testing.T) {
	t.Parallel()
	for _, daemons := range simSizes {
		for _, limit := range simLimits {
			f := newSimFleet(daemons, limit, 2)
			f.play(0, 2*lendTime)
			for turn := range 12 {
				f.hot = turn % daemons
				f.play(0.9*limit.Rate, time.Second)
			}
			f.share(t, "moving demand", 0.85)
			f.check(t, limit)
		}
	}
}

// Load pattern: a hundred daemons get one request each at the same time, together six times the burst; later ones get one
// each that fits. Guards against shares that are too small for any request.
func TestOneRequestAtEachDaemon(t *testing.T) {
	limit := Limit{Rate: 150_000, Burst: 150_000}
	f := newSimFleet(100, limit, 3)
	f.play(0, 2*lendTime)
	f.size = func() float64 { return 9190 }
	for _, part := range []int{1, 10} {
		for d := 0; d < len(f.daemons); d += part {
			r := simRequest{units: f.size(), until: f.now + simPatience}
			f.ideal.queue = append(f.ideal.queue, r)
			f.offer(f.daemons[d], r)
		}
		f.play(0, 5*time.Second)
		f.share(t, "one request each", 0.85)
	}
	f.check(t, limit)
}

// Load pattern: requests larger than the burst, alone and then among small ones at twice the quota. Guards against requests
// that no full bucket ever covers, and against debts that add up.
func TestRequestsLargerThanTheBurst(t *testing.T) {
	limit := Limit{Rate: 29_000, Burst: 29_000}
	f := newSimFleet(24, limit, 4)
	f.play(0, 2*lendTime)
	f.size = func() float64 { return 40_000 }
	for d := range 5 {
		f.offer(f.daemons[d], simRequest{units: 40_000, until: f.now + simPatience})
		f.play(0, 3*time.Second)
	}
	if len(f.sends) != 5 {
		t.Errorf("%d of 5 requests larger than the burst ran, 3 s apart", len(f.sends))
	}
	f.size = func() float64 { return []float64{200, 40_000}[f.random.IntN(2)] }
	f.play(2*limit.Rate, 30*time.Second)
	f.check(t, limit)
}
