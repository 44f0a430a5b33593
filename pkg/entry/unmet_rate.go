package entry

import (
	"math"
	"time"
)

// unmetWindow is the time over which unmet requests are averaged. With a shorter one, a single late request would give a
// rate that justifies another copy.
const unmetWindow = 10 * time.Second

// unmetRate counts the unmet requests for one model, with exponential decay over unmetWindow.
type unmetRate struct {
	decayedCount float64
	decayedAt    time.Time
	lastHintAt   time.Time
	hintsSent    int
}

func (u *unmetRate) add(now time.Time) {
	if passed := now.Sub(u.decayedAt); passed > 0 {
		u.decayedCount *= math.Exp(-passed.Seconds() / unmetWindow.Seconds())
		u.decayedAt = now
	}
	u.decayedCount++
}
