package allowance

import (
	"math"
	"time"
)

const (
	// usageTime is the time constant of the rate of use.
	usageTime = 2 * time.Second
	// sizeWeight is the weight of the newest request in the mean size.
	sizeWeight = 0.2
	// spareTime is the use for which a daemon wants to hold units, so that usual requests need no round trip and requests
	// within the quota are served while the holder is replaced, which takes about two seconds.
	spareTime = 1500 * time.Millisecond
	// idleTime is the time without use after which a daemon gives back what it has.
	idleTime = 3 * time.Second
)

// usage estimates what requests take. The zero value has seen none.
type usage struct {
	// rate is in units a second at the time at.
	rate float64
	// size is the mean of recent requests in units.
	size float64
	at   time.Duration
	seen bool
}

// add counts a request.
func (u *usage) add(units float64, now time.Duration) {
	if !u.seen {
		u.size = units
	}
	u.rate = u.decayed(now) + units/usageTime.Seconds()
	u.size += (units - u.size) * sizeWeight
	u.at, u.seen = now, true
}

func (u *usage) decayed(now time.Duration) float64 {
	return u.rate * math.Exp(-float64(max(now-u.at, 0))/float64(usageTime))
}

// idle reports whether no request has taken anything lately.
func (u *usage) idle(now time.Duration) bool { return !u.seen || now-u.at >= idleTime }

// spare returns the units to hold for requests to come.
func (u *usage) spare(now time.Duration) float64 {
	if u.idle(now) {
		return 0
	}
	return math.Ceil(u.decayed(now)*spareTime.Seconds() + u.size)
}
