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
	// silence is what the daemon may gain while it does not hear of the holder; before is that of the grant before, which it
	// has if the last answer was lost.
	silence silence
	before  silence
	// gained is the total that the daemon has told, charged what was deducted for it since.
	gained  float64
	charged float64
	// short is what the daemon's requests lack, need what the first of them lacks.
	short float64
	// spare is what the daemon wants to hold for requests to come.
	spare float64
	// rate is what its requests lately took a second.
	rate float64
	need float64
	// turn orders the daemons whose requests wait; 0 if none do.
	turn uint64
}

// waitTime is how long the wishes of a daemon count without a new report. interval is the usual time between reports: with a
// shorter time, the units that a daemon waits for are reserved, but never lent.
func waitTime(interval time.Duration) time.Duration { return 150*time.Millisecond + interval*3/2 }

// pace and reserve return the most that the daemon may have been promised.
func (b *borrower) pace() float64    { return max(b.silence.pace, b.before.pace) }
func (b *borrower) reserve() float64 { return max(b.silence.reserve, b.before.reserve) }

// charge returns what the daemon, which reported last at the given time, may have gained since the last charge. It counts as
// outstanding.
func (b *borrower) charge(reported, now, grace time.Duration) float64 {
	units := max(b.silence.gain(reported, now, grace), b.before.gain(reported, now, grace))
	b.charged += units
	b.outstanding += units
	if now-reported >= silenceTime {
		b.silence.pace, b.before.pace = 0, 0
	}
	return units
}

// settle applies the totals of a report and returns what comes back to the bucket: units given back, those lent by answers
// that were lost, and what was charged beyond what the daemon gained. ok is false for a report that is older than the last one.
func (b *borrower) settle(u *Use) (back float64, ok bool) {
	if u.Received < b.received || u.Returned < b.returned || u.Gained < b.gained {
		return 0, false
	}
	if b.fresh && u.Received != b.granted {
		// A late copy of an earlier first report has replaced what was known of the daemon.
		b.adopt(u)
		return 0, true
	}
	back = max(b.granted-u.Received, 0) + u.Returned - b.returned + b.charged - (u.Gained - b.gained)
	b.adopt(u)
	return back, true
}

// adopt takes over the totals of a daemon.
func (b *borrower) adopt(u *Use) {
	b.granted, b.received, b.returned, b.gained = u.Received, u.Received, u.Returned, u.Gained
	b.charged, b.fresh = 0, false
}
