package allowance

import "time"

const (
	// silenceGrace is the age of its last answered report from which a daemon without a lending holder gains units, from that
	// report on.
	silenceGrace = 400 * time.Millisecond
	// silenceTime is how long after that report the daemon gains units. Most holders are replaced within that time.
	silenceTime = 3 * time.Second
)

// silence is what a daemon may use while it hears of no lending holder. The daemon and the holder both keep it: the one
// gains what the other charges.
type silence struct {
	// pace is in units a second; reserve comes besides, once.
	pace    float64
	reserve float64
	// gainedTo is until when units have been gained.
	gainedTo time.Duration
}

// gain returns the units that are gained up to now if the last report was at the given time.
func (s *silence) gain(reported, now time.Duration) float64 {
	if now-reported < silenceGrace {
		return 0
	}
	span := max(min(now, reported+silenceTime)-max(s.gainedTo, reported), 0)
	units := s.pace*span.Seconds() + s.reserve
	s.gainedTo, s.reserve = max(s.gainedTo, now), 0
	return units
}
