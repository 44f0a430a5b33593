package coordinator

import (
	"math"
	"time"
)

const (
	// demandHalfLife is the half-life of past demand; shifts of demand take a few seconds.
	demandHalfLife = 1500 * time.Millisecond
	// minDemandRate is the rate, in accelerator seconds per second, below which a model counts as not requested.
	minDemandRate = 0.003
)

// demandRate is an exponentially decaying average of the accelerator time requested per second.
type demandRate struct {
	rate      float64
	updatedAt time.Time
	// waiting is the number of requests that are waiting now, by daemon.
	waiting map[string]int
	// lastRequest is when the latest request was reported.
	lastRequest time.Time
}

func (d *demandRate) add(work time.Duration, now time.Time) {
	d.decay(now)
	d.rate += work.Seconds() * math.Ln2 / demandHalfLife.Seconds()
	d.lastRequest = now
}

func (d *demandRate) decay(now time.Time) {
	if passed := now.Sub(d.updatedAt); passed > 0 {
		d.rate *= math.Exp2(-passed.Seconds() / demandHalfLife.Seconds())
	}
	d.updatedAt = now
}

func (d *demandRate) waitingTotal() int {
	n := 0
	for _, w := range d.waiting {
		n += w
	}
	return n
}

func (d *demandRate) hasEnded(now time.Time) bool {
	return d.rate < minDemandRate && d.waitingTotal() == 0 && now.Sub(d.lastRequest) > 10*demandHalfLife
}
