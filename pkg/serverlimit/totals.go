package serverlimit

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Totals sums the reports of all daemons. It is not safe for concurrent use.
type Totals struct {
	servers map[string]*serverTotal
}

type serverTotal struct {
	observation Observation
	sent        Window
	// waiting is by daemon.
	waiting map[string]waiting
}

// waiting is the number of requests that a daemon held back at its last report, and how many of them it may send until
// the next one.
type waiting struct {
	held    int
	granted int
	at      time.Time
}

// waitingTime is how long the held requests of a daemon count without a new report.
const waitingTime = totalTime

// NewTotals returns totals without servers.
func NewTotals() *Totals { return &Totals{servers: map[string]*serverTotal{}} }

// Apply adds the report of a daemon.
func (t *Totals) Apply(daemon string, r *Report, now time.Time) {
	s, ok := t.servers[r.Server]
	if !ok {
		s = &serverTotal{waiting: map[string]waiting{}}
		t.servers[r.Server] = s
	}
	if r.At.After(s.observation.At) {
		s.observation = r.Observation
	}
	s.sent.Add(r.Sent, now)
	s.waiting[daemon] = waiting{held: r.Held, at: now}
}

// List returns the totals of the servers that have named or lifted a limit lately, in ascending order of their ids, with
// what is granted to the daemon.
func (t *Totals) List(daemon string, now time.Time) []Total {
	maps.DeleteFunc(t.servers, func(_ string, s *serverTotal) bool { return now.Sub(s.observation.At) > observationTime })
	out := make([]Total, 0, len(t.servers))
	for _, id := range slices.Sorted(maps.Keys(t.servers)) {
		s := t.servers[id]
		held, granted := s.grant(daemon, now)
		out = append(out, Total{Server: id, Observation: s.observation, Sent: s.sent.Count(now), Held: held, Granted: granted})
	}
	return out
}

// grant shares out what the server still takes among the held requests, and returns how many all daemons hold back and
// how many are granted to the daemon.
func (s *serverTotal) grant(daemon string, now time.Time) (held, granted int) {
	free := s.observation.perSpan() - float64(s.sent.Count(now))
	for name, w := range s.waiting {
		if now.Sub(w.at) >= waitingTime {
			delete(s.waiting, name)
			continue
		}
		held += w.held
		free -= float64(w.granted)
	}
	own, ok := s.waiting[daemon]
	if !ok || own.held == 0 || free < 1 {
		return held, 0
	}
	share := math.Ceil(free * float64(own.held) / float64(held))
	own.granted = min(own.held, int(min(share, free)))
	s.waiting[daemon] = own
	return held, own.granted
}
