package serverspeed

import "time"

const (
	// unevenStatement is how far a statement has to be from the usual to show that the servers of a service differ.
	unevenStatement = 0.15
	// unevenFor is how long servers count as unlike after the newest evidence.
	unevenFor = 30 * time.Second
	// unevenRatio is the ratio of the fast and the slow quartile of the servers, by their answers alone, at which they count
	// as unlike; unevenAnswers answers of each and unevenServers servers are needed for that. Below them, the noise of times
	// to the first event looks like a difference.
	unevenRatio   = 2.0
	unevenAnswers = 20
	unevenServers = 4
	// medianPeriod is how often the median of a service is computed.
	medianPeriod = 250 * time.Millisecond
)

// service is what is known of the servers of one service together.
type service struct {
	rates Rates
	// unevenAt is when the newest evidence of unlike servers came; the zero time for none.
	unevenAt time.Time
	median   float64
	medianAt time.Time
}

func (s *service) uneven(now time.Time) bool {
	return !s.unevenAt.IsZero() && now.Sub(s.unevenAt) < unevenFor
}
