package allowance

import "time"

// Limit bounds what all daemons together use of an allowance.
type Limit struct {
	// Rate is in units a second.
	Rate float64
	// Burst is the most units that the bucket holds.
	Burst float64
	// Window makes the limit one of a sliding window: within any time of that length at most Rate*Window + Burst units are
	// used, however they are spread over it. 0 means a token bucket, which regains Rate units a second.
	Window time.Duration
}

// most returns the units that can be used at once.
func (l *Limit) most() float64 { return l.Burst + l.Rate*l.Window.Seconds() }
