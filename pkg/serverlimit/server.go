package serverlimit

import (
	"slices"
	"time"
)

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
	// reserved holds when places were reserved for requests that are not sent yet.
	reserved []time.Time
	// granted is the number of held requests that may be sent until the next total.
	granted int
	// total is that of all daemons, as known at totalAt.
	total   Total
	totalAt time.Time
	// known is the number of requests of all daemons within the Span before knownAt, from the last total that held all of
	// them. A new lease holder starts with less.
	known   int
	knownAt time.Time
	// trustedFrom is when all daemons have told a new lease holder of their requests.
	trustedFrom time.Time
	// lot decides whether a part of a request may be sent. It is drawn once in a Span, at drawnAt.
	lot     float64
	drawnAt time.Time
}

const (
	// minTotalTime covers two reports of a daemon in a small fleet, of which the holder delays those of daemons with waiting
	// requests by 200 ms, and perDaemonTotalTime the longer times between them in larger fleets. A total must not be used for
	// longer: each daemon takes all that it leaves of a limit for its own. In a fleet of 29, eight daemons sent ten requests
	// to a server with a limit of 3.5 a second in the 0.7 s after the loss of the holder, and 32 requests reached it in 4 s.
	minTotalTime       = 500 * time.Millisecond
	perDaemonTotalTime = 5 * time.Millisecond
	smallFleet         = 30
	// maxTotalTime bounds the age of a total that is used. The largest fleets report about once a second.
	maxTotalTime = 1500 * time.Millisecond
	// settleTime is how long a new lease holder may not know the requests of all daemons.
	settleTime = 1200 * time.Millisecond
)

// totalTime returns the age up to which the total of so many daemons is used. Without it each daemon keeps to an equal
// share.
func totalTime(daemons int) time.Duration {
	return min(minTotalTime+time.Duration(max(daemons-smallFleet, 0))*perDaemonTotalTime, maxTotalTime)
}

// knowsTotal reports whether the requests of all daemons are known.
func (s *server) knowsTotal(daemons int, now time.Time) bool {
	return now.Sub(s.totalAt) < totalTime(daemons) && !now.Before(s.trustedFrom)
}

// recordTotal records a total, with so many daemons. That of a lease holder that does not know all requests yet replaces
// what is known only if it is larger or that is out of date. A holder that returns may not have heard of the others yet.
func (s *server) recordTotal(total *Total, daemons int, now time.Time) {
	if wait := totalTime(daemons); !s.totalAt.IsZero() && now.Sub(s.totalAt) >= wait && now.Add(wait).After(s.trustedFrom) {
		s.trustedFrom = now.Add(wait)
	}
	s.total, s.totalAt, s.granted = *total, now, total.Granted
	if !now.Before(s.trustedFrom) || total.Sent >= s.known || now.Sub(s.knownAt) >= Span {
		s.known, s.knownAt = total.Sent, now
	}
}

// reservationTime is how long a place is kept for a request between its choice and its sending. That takes microseconds;
// a request that is refused after the choice gives its place back by this time.
const reservationTime = 20 * time.Millisecond

// countReserved returns the number of places that are kept, and drops those that have lapsed.
func (s *server) countReserved(now time.Time) int {
	s.reserved = slices.DeleteFunc(s.reserved, func(at time.Time) bool { return now.Sub(at) >= reservationTime })
	return len(s.reserved)
}

// free returns how many requests may still be sent now by all daemons together, as far as this one knows.
func (s *server) free() float64 {
	return s.observation.perSpan() - float64(s.total.Sent+s.reporting+s.unreported)
}

// withinShare reports whether one of so many daemons may send another request while none knows what the others send. They
// share what the requests that were known last leave of the limit, as these come to be older than Span, and none sends more
// than its share of the whole limit. The part of a request that a share has beyond whole ones is drawn by lot, so that all
// daemons together send about as many as they may.
func (s *server) withinShare(reserved, daemons int, random func() float64, now time.Time) bool {
	// The lot is drawn anew as well when the known requests become out of date: a lot of before would give the daemons that
	// lost it two chances within Span.
	outdated := s.knownAt.Add(Span)
	if now.Sub(s.drawnAt) >= Span || (s.drawnAt.Before(outdated) && !now.Before(outdated)) {
		s.lot, s.drawnAt = random(), now
	}
	fits := func(sent int, room float64) bool {
		return float64(sent+reserved+1) <= max(room, 0)/float64(max(daemons, 1))+s.lot
	}
	room := s.observation.perSpan()
	if left := outdated.Sub(now); left > 0 {
		// When the known requests were sent within Span is not known, so they are taken for spread evenly.
		still := float64(s.known) * left.Seconds() / Span.Seconds()
		if !fits(s.reporting+s.unreported, room-still) {
			return false
		}
	}
	return fits(s.own.Count(now), room)
}
