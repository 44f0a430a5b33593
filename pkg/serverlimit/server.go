package serverlimit

import "time"

// server is what a daemon knows of one server that names a limit.
type server struct {
	observation Observation
	// own counts this daemon's requests.
	own Window
	// unreported and reporting are own requests that the total does not include: those since the last report, and those in
	// a report that has not been answered.
	unreported int
	reporting  int
	// held is the number of requests that could not be sent since the last report.
	held int
	// granted is the number of held requests that may be sent until the next total.
	granted int
	// total is that of all daemons, as known at totalAt.
	total   Total
	totalAt time.Time
	// trustedFrom is when all daemons have told a new lease holder of their requests.
	trustedFrom time.Time
	// lot decides whether a part of a request may be sent. It is drawn once in a Span, at drawnAt.
	lot     float64
	drawnAt time.Time
}

const (
	// totalTime is the age up to which the total of all daemons is used. Without it each daemon keeps to an equal share. The
	// largest fleets report about once a second.
	totalTime = 1500 * time.Millisecond
	// settleTime is how long a new lease holder may not know the requests of all daemons.
	settleTime = 1200 * time.Millisecond
)

// knowsTotal reports whether the requests of all daemons are known.
func (s *server) knowsTotal(now time.Time) bool {
	return now.Sub(s.totalAt) < totalTime && !now.Before(s.trustedFrom)
}

// free returns how many requests may still be sent now by all daemons together, as far as this one knows.
func (s *server) free() float64 {
	return s.observation.perSpan() - float64(s.total.Sent+s.reporting+s.unreported)
}

// withinShare reports whether one of so many daemons may send another request while none knows of the others. The part
// of a request that its share has beyond whole ones is drawn by lot, so that all daemons together send about as many as
// they may.
func (s *server) withinShare(daemons int, random func() float64, now time.Time) bool {
	if now.Sub(s.drawnAt) >= Span {
		s.lot, s.drawnAt = random(), now
	}
	share := s.observation.perSpan() / float64(max(daemons, 1))
	return float64(s.own.Count(now)+1) <= share+s.lot
}
