package allowance

import "time"

// borrower is what the holder knows of one daemon's part of an allowance.
type borrower struct {
	// granted is the total lent to the daemon and not lost on the way, returned the total given back.
	granted  float64
	returned float64
	// received is the part of granted that had arrived at the last report.
	received float64
	// fresh is set until the daemon has answered to its first grant.
	fresh bool
	// outstanding is what the daemon may still use until expires.
	outstanding float64
	expires     time.Duration
	seen        time.Duration
	// short is what the daemon's requests lack, need what the first of them lacks.
	short float64
	// spare is what the daemon wants to hold for requests to come.
	spare float64
	need  float64
	// turn orders the daemons whose requests wait; 0 if none do.
	turn uint64
}

// waitTime is how long the wishes of a daemon count without a new report.
const waitTime = 300 * time.Millisecond

// settle applies the totals of a report and returns what comes back to the bucket: units given back, and those lent by
// answers that were lost. ok is false for a report that is older than the last one.
func (b *borrower) settle(u *Use) (back float64, ok bool) {
	if u.Received < b.received || u.Returned < b.returned {
		return 0, false
	}
	if b.fresh && u.Received != b.granted {
		// A late copy of an earlier first report has replaced what was known of the daemon.
		b.adopt(u)
		return 0, true
	}
	back = max(b.granted-u.Received, 0) + u.Returned - b.returned
	b.adopt(u)
	return back, true
}

// adopt takes over the totals of a daemon.
func (b *borrower) adopt(u *Use) {
	b.granted, b.received, b.returned, b.fresh = u.Received, u.Received, u.Returned, false
}
