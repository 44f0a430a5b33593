package quarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// evidenceTime is how long crashes count.
	evidenceTime = time.Minute
	// settleTime is the time from the first report of a crash until it counts. Within it other daemons report which of its
	// parts runners have survived since: a fleet of 100 reports about every 300 ms. What comes later lifts the entry.
	settleTime = 500 * time.Millisecond
	// newPartSettleTime is that time for parts that no daemon which reported a crash has seen survived: it covers reports of
	// the same crash by other daemons.
	newPartSettleTime = 60 * time.Millisecond
	// maxCrashes bounds the crashes that are remembered; a failure domain holds fewer runners.
	maxCrashes = 256
	// MaxRequests bounds the requests of one crash; runners run fewer at once.
	MaxRequests = 128
)

// crashKey identifies the crash of one incarnation of a runner.
type crashKey struct {
	server      string
	startMillis int64
}

// Evidence collects crashes and the parts that runners have survived. It is not safe for concurrent use.
type Evidence struct {
	crashes map[crashKey]*Crash
	sound   *soundParts
}

// NewEvidence returns an Evidence without crashes.
func NewEvidence() *Evidence {
	return &Evidence{crashes: map[crashKey]*Crash{}, sound: newSoundParts()}
}

// AddCrash adds a crash that was reported at the given time, or further requests to a known one. Reports without requests
// are ignored.
func (e *Evidence) AddCrash(c *Crash, reportedAt time.Time) {
	if len(c.Requests) == 0 {
		return
	}
	key := crashKey{server: c.Server, startMillis: c.StartMillis}
	known, ok := e.crashes[key]
	if !ok {
		if len(e.crashes) >= maxCrashes {
			return
		}
		known = &Crash{Server: c.Server, StartMillis: c.StartMillis, At: c.At, reportedAt: reportedAt}
		e.crashes[key] = known
	}
	for _, request := range c.Requests {
		same := func(s Suspect) bool { return s.RequestID == request.RequestID }
		if len(known.Requests) < MaxRequests && !slices.ContainsFunc(known.Requests, same) {
			known.Requests = append(known.Requests, request)
		}
	}
}

// AddSound records that a runner had survived the part by the given time.
func (e *Evidence) AddSound(part string, at time.Time) { e.sound.add(part, at) }

// SoundAt returns when a runner was last known to have survived the part; the zero time if never.
func (e *Evidence) SoundAt(part string) time.Time { return e.sound.at(part) }

// Expire drops the crashes that are too old to count.
func (e *Evidence) Expire(now time.Time) {
	maps.DeleteFunc(e.crashes, func(_ crashKey, c *Crash) bool { return now.Sub(c.At) > evidenceTime })
}

// Suspects returns the parts that no runner is known to have survived since a crash, in ascending order.
func (e *Evidence) Suspects() []string {
	parts := map[string]bool{}
	for _, c := range e.crashes {
		for i := range c.Requests {
			for _, part := range c.Requests[i].Parts {
				if !e.sound.at(part).After(c.At) {
					parts[part] = true
				}
			}
		}
	}
	return slices.Sorted(maps.Keys(parts))
}
