package entry

import (
	"math"
	"time"
)

// unmetWindow is the time over which unmet requests are averaged. A shorter one turns a single late request into a rate
// that pays for a copy.
const unmetWindow = 10 * time.Second

// unmetCount counts the unmet requests of one model; older ones fade exponentially.
type unmetCount struct {
	requests  float64
	countedAt time.Time
	sentAt    time.Time
	hints     int
}

func (u *unmetCount) add(now time.Time) {
	if passed := now.Sub(u.countedAt); passed > 0 {
		u.requests *= math.Exp(-passed.Seconds() / unmetWindow.Seconds())
		u.countedAt = now
	}
	u.requests++
}
