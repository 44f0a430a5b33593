package coordinator

import (
	"math"
	"time"
)

const (
	// demandHalfLife is the time after which past demand counts half; shifts of demand take a few seconds.
	demandHalfLife = 1500 * time.Millisecond
	// forgetRate is the rate below which demand counts as ended.
	forgetRate = 0.003
)

// demandRate is a decaying average of accelerator time asked for per second.
type demandRate struct {
	rate float64
	at   time.Time
	// waiting is the number of requests that wait now, by daemon.
	waiting map[string]int
	// last is when the last request arrived.
	last time.Time
}

func (d *demandRate) add(work time.Duration, now time.Time) {
	d.decay(now)
	d.rate += work.Seconds() * math.Ln2 / demandHalfLife.Seconds()
	d.last = now
}

func (d *demandRate) decay(now time.Time) {
	if passed := now.Sub(d.at); passed > 0 {
		d.rate *= math.Exp2(-passed.Seconds() / demandHalfLife.Seconds())
	}
	d.at = now
}

func (d *demandRate) waitingTotal() int {
	n := 0
	for _, w := range d.waiting {
		n += w
	}
	return n
}

func (d *demandRate) over(now time.Time) bool {
	return d.rate < forgetRate && d.waitingTotal() == 0 && now.Sub(d.last) > 10*demandHalfLife
}
