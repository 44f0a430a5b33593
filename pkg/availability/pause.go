package availability

import "time"

const (
	// MaxPause bounds a pause. It is twice the usual longest timeout of a route (15 s): a server in need of more can say so
	// again to the first request after it, while a wrong value takes a server away for half a minute at most.
	MaxPause = 30 * time.Second
	// maxReturnDelay and returnShare bound the time by which a daemon returns later than it may. It differs between daemons
	// and servers, so that not all requests come back at the same moment.
	maxReturnDelay = 500 * time.Millisecond
	returnShare    = 0.2
	// returnTime is how long requests are sent at returnInterval after a pause, unless a response shows before that the
	// server takes requests again. Most responses begin within a second.
	returnTime     = time.Second
	returnInterval = 100 * time.Millisecond
	// minNotifiedExtension keeps refusals that arrive together from being one change each.
	minNotifiedExtension = 100 * time.Millisecond
)

// pause is a pause that a server has asked for, and the return of requests after it.
type pause struct {
	// since is when the first refusal with a pause arrived, until when the latest pause ends.
	since time.Time
	until time.Time
	// saidAt is when the newest refusal with a pause arrived.
	saidAt time.Time
	// resumeAt is when this daemon sends requests again; it is until or a little later.
	resumeAt time.Time
	// lot, in [0, 1), decides by how much.
	lot float64
	// lastSent is when the last request was sent after the pause.
	lastSent time.Time
	// notified is the end that was last notified.
	notified time.Time
}

// extend makes the pause last until d after now; it never gets shorter.
func (p *pause) extend(d time.Duration, now time.Time) {
	d = min(d, MaxPause)
	if !now.Add(d).After(p.until) {
		return
	}
	p.until = now.Add(d)
	spread := min(time.Duration(returnShare*float64(d)), maxReturnDelay)
	p.resumeAt = p.until.Add(time.Duration(p.lot * float64(spread)))
}

// left returns how long no request may be sent.
func (p *pause) left(now time.Time) time.Duration {
	if now.Before(p.resumeAt) {
		return p.resumeAt.Sub(now)
	}
	if p.over(now) {
		return 0
	}
	return max(p.lastSent.Add(returnInterval).Sub(now), 0)
}

// over reports whether the pause and the return after it have ended.
func (p *pause) over(now time.Time) bool { return !now.Before(p.resumeAt.Add(returnTime)) }
