package allowance

import (
	"testing"
	"time"
)

// simEvents are what the random days are made of.
var simEvents = []func(f *simFleet){
	// Some daemons are cut off.
	func(f *simFleet) {
		for _, d := range f.daemons {
			d.cut = f.random.IntN(3) == 0
		}
		f.playSome(500*time.Millisecond, 5*time.Second)
	},
	// The holder dies and another one takes over while messages are lost.
	func(f *simFleet) {
		f.holder.dead = true
		f.playSome(200*time.Millisecond, 3*time.Second)
		f.replaceHolder()
		f.playSome(0, 300*time.Millisecond)
		for _, d := range f.daemons {
			d.cut = f.random.IntN(2) == 0
		}
		f.playSome(50*time.Millisecond, 900*time.Millisecond)
	},
	// The holder loses the store and is replaced; some daemons follow it on.
	func(f *simFleet) {
		old := f.holder
		old.stored = false
		f.playSome(1700*time.Millisecond, 3*time.Second)
		for _, d := range f.daemons {
			d.stays = f.random.IntN(3) == 0
		}
		f.replaceHolder()
		f.playSome(200*time.Millisecond, 6*time.Second)
		old.dead = true
	},
	// The holder freezes, is replaced or not, and comes back.
	func(f *simFleet) {
		old := f.holder
		old.frozen = true
		if f.random.IntN(2) == 0 {
			f.playSome(1700*time.Millisecond, 4*time.Second)
			old.stored = false
			f.replaceHolder()
		}
		f.playSome(200*time.Millisecond, 4*time.Second)
		old.frozen = false
		f.playSome(200*time.Millisecond, 2*time.Second)
	},
	// Some daemons restart.
	func(f *simFleet) {
		for _, d := range f.daemons {
			if f.random.IntN(3) == 0 {
				f.restart(d)
			}
		}
	},
	// The demand moves to one daemon.
	func(f *simFleet) { f.hot = f.random.IntN(len(f.daemons)) },
	// The demand spreads again.
	func(f *simFleet) { f.hot = -1 },
}

// playSome plays a random time at a random demand.
func (f *simFleet) playSome(least, most time.Duration) {
	demand := []float64{0, 0.3, 0.9, 2, 6}[f.random.IntN(5)]
	f.play(demand*f.limit.Rate, least+time.Duration(f.random.Int64N(int64(most-least))))
}

// Load pattern: between nothing and six times the quota, spread or at one daemon, while holders die, freeze, lose the store
// and are replaced, and daemons are cut off and restart, also in the middle of a hand-over. Guards against any order of these
// in which more runs than the rule of the first customer allows.
func TestQuotaHoldsOnRandomDays(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		for _, f := range faultFleets(100 + seed) {
			for range 9 {
				f.playSome(300*time.Millisecond, 4*time.Second)
				simEvents[f.random.IntN(len(simEvents))](f)
				for _, d := range f.daemons {
					d.cut, d.stays = false, false
				}
			}
			f.check(t, f.limit)
		}
	}
}
