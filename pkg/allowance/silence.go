package allowance

import "time"

// silenceTime is how long after its last answered report a daemon without a lending holder gains units. Most holders are
// replaced within that time.
const silenceTime = 3 * time.Second

// silenceGrace is the age of that report from which the daemon gains units, from the report on. interval is the usual time
// between reports.
func silenceGrace(interval time.Duration) time.Duration { return 280*time.Millisecond + 2*interval }

// silence is what a daemon may use while it hears of no lending holder. The daemon and the holder both keep it: the one
// gains what the other charges.
type silence struct {
	// pace is in units a second; reserve comes besides, once.
	pace    float64
	reserve float64
	// gainedTo is until when units have been gained.
	gainedTo time.Duration
}

// gain returns the units that are gained up to now if the last report was at the given time and
// the grace is that long.
func (s *silence) gain(reported, now, grace time.Duration) float64 {
	if now-reported < grace {
		return 0
	}
	span := max(min(now, reported+silenceTime)-max(s.gainedTo, reported), 0)
	units := s.pace*span.Seconds() + s.reserve
	s.gainedTo, s.reserve = max(s.gainedTo, now), 0
	return units
}
