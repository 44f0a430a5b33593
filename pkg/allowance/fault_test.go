package allowance

import (
	"testing"
	"time"
)

// simFaults change a fleet that is asked for twice its quota; the fleet goes on for 15 s after each.
var simFaults = map[string]func(f *simFleet){
	"holder lost and replaced": func(f *simFleet) {
		f.holder.dead = true
		f.play(2*f.limit.Rate, 2*time.Second)
		f.replaceHolder()
	},
	"two holders, half of the daemons stay with the old one": func(f *simFleet) {
		f.holder.stored = false
		f.play(2*f.limit.Rate, 1700*time.Millisecond)
		for d := range len(f.daemons) / 2 {
			f.daemons[d].stays = true
		}
		f.replaceHolder()
	},
	"holder frozen and back after it was replaced": func(f *simFleet) {
		old := f.holder
		old.frozen, old.stored = true, false
		f.play(2*f.limit.Rate, 2*time.Second)
		for d := range len(f.daemons) / 2 {
			f.daemons[d].stays = true
		}
		f.replaceHolder()
		f.play(2*f.limit.Rate, time.Second)
		old.frozen = false
	},
	"store lost for all": func(f *simFleet) { f.holder.stored = false },
	"daemons out of touch": func(f *simFleet) {
		for d := range len(f.daemons) / 2 {
			f.daemons[d].cut = true
		}
	},
	"restart of all": func(f *simFleet) {
		f.holder.dead = true
		for _, d := range f.daemons {
			f.restart(d)
		}
		f.replaceHolder()
	},
	"a daemon restarts within a tenure": func(f *simFleet) {
		for _, d := range f.daemons {
			f.restart(d)
		}
	},
	"clocks of daemons stop": func(f *simFleet) {
		for d := range len(f.daemons) / 2 {
			f.daemons[d].stopped = f.now
		}
	},
	"responses lost every other second": func(f *simFleet) {
		for range 5 {
			for _, d := range f.daemons {
				d.cut = f.random.IntN(2) == 0
			}
			f.play(2*f.limit.Rate, 900*time.Millisecond)
			for _, d := range f.daemons {
				d.cut = false
			}
			f.play(2*f.limit.Rate, 900*time.Millisecond)
		}
	},
}

// faultFleets returns fleets of all sizes and with all limits, the largest one only with the largest limit: its daemons take
// most of the time, and the excess that the rule allows is the smallest part of that limit.
func faultFleets(seed uint64) []*simFleet {
	var out []*simFleet
	for _, limit := range simLimits {
		out = append(out, newSimFleet(simSizes[0], limit, seed), newSimFleet(simSizes[1], limit, seed))
	}
	return append(out, newSimFleet(simSizes[2], simLimits[2], seed))
}

// Load pattern: twice the quota, with bursts after a calm of some seconds, while the holder, daemons or clocks fail halfway.
// Guards against units that are lent twice, by two holders or again after a lost response, and against parts that outlive
// their time.
func TestQuotaHoldsThroughFaults(t *testing.T) {
	t.Parallel()
	for name, fault := range simFaults {
		t.Run(name, func(t *testing.T) {
			for _, f := range faultFleets(5) {
				rate := f.limit.Rate
				f.play(0.5*rate, 6*time.Second)
				f.play(2*rate, 300*time.Millisecond)
				fault(f)
				f.play(2*rate, 9*time.Second)
				f.check(t, f.limit)
			}
		})
	}
}

// Load pattern: half of the quota at all daemons while the holder is replaced within 2 s, and while the store is away for all
// daemons for 10 s. Guards against requests within the quota that are refused because the holder is lost.
func TestRequestsWithinTheQuotaSurviveTheHolder(t *testing.T) {
	t.Parallel()
	for _, limit := range simLimits[1:] {
		lost := newSimFleet(24, limit, 6)
		for seed := range uint64(10) {
			f := newSimFleet(24, limit, seed)
			f.play(0.5*limit.Rate, 10*time.Second)
			f.admits, f.ideal.admits = 0, 0
			f.holder.stored = false
			f.play(0.5*limit.Rate, 10*time.Second)
			f.share(t, "store away", 0.95)
			f.holder.dead = true
			f.play(0.5*limit.Rate, 2*time.Second)
			lost.admits, lost.ideal.admits = lost.admits+f.admits, lost.ideal.admits+f.ideal.admits
			f.admits, f.ideal.admits = 0, 0
			f.replaceHolder()
			f.play(0.5*limit.Rate, 8*time.Second)
			f.share(t, "holder replaced", 0.85)
		}
		// Of a small quota, hardly any daemon gets the units of a whole request in that time; lots are drawn for it.
		least := map[float64]float64{120_000: 0.4, 500_000: 0.85}
		lost.share(t, "holder lost", least[limit.Rate])
	}
}

// Load pattern: twice the quota while the quota is lowered to a tenth, raised to it again, removed and set. Guards against
// parts of a higher quota that outlive the change, and against a quota that is not used after it was raised.
func TestQuotaChanges(t *testing.T) {
	high, low := Limit{Rate: 500_000, Burst: 500_000}, Limit{Rate: 50_000, Burst: 50_000}
	f := newSimFleet(24, high, 7)
	f.play(2*high.Rate, 10*time.Second)
	f.setLimit(low)
	f.play(2*high.Rate, lendTime)
	f.sends = nil
	f.play(2*high.Rate, 12*time.Second)
	f.check(t, low)
	f.setLimit(high)
	f.play(0.5*high.Rate, time.Second)
	f.admits, f.ideal.admits = 0, 0
	f.play(0.9*high.Rate, 10*time.Second)
	f.share(t, "raised", 0.95)
	f.setLimit(Limit{})
	table := f.daemons[0].table
	if !table.Take(simName, 10*high.Rate, f.now).Taken {
		t.Error("a request without a quota was refused")
	}
	f.play(0, time.Second)
	f.setLimit(high)
	if table.Take(simName, 10*high.Rate, f.now).Taken {
		t.Error("a request used units from before the quota was removed")
	}
	f.sends = nil
	f.play(2*high.Rate, 10*time.Second)
	f.check(t, high)
}
