package routing

import (
	"maps"
	"time"
)

const (
	// suspectBase is the first time that a runner is avoided; it covers a short pause of a process.
	suspectBase = 500 * time.Millisecond
	// suspectLimit bounds the avoidance, so that a returned runner is used again within half a minute.
	suspectLimit = 30 * time.Second
)

// Suspects is the table of runners that did not answer. It is pure and not safe for concurrent use.
type Suspects struct {
	entries map[string]suspicion
}

type suspicion struct {
	until   time.Time
	backoff time.Duration
}

// NewSuspects returns an empty table.
func NewSuspects() *Suspects {
	return &Suspects{entries: map[string]suspicion{}}
}

// Fail records that a runner did not answer; it reports whether the runner was trusted before.
// Failures while the runner is already avoided do not lengthen the avoidance.
func (s *Suspects) Fail(runner string, now time.Time) bool {
	e, known := s.entries[runner]
	if known && now.Before(e.until) {
		return false
	}
	e.backoff = min(max(2*e.backoff, suspectBase), suspectLimit)
	e.until = now.Add(e.backoff)
	s.entries[runner] = e
	return true
}

// Answered records that a runner answered; it reports whether that changed the table.
func (s *Suspects) Answered(runner string) bool {
	_, known := s.entries[runner]
	delete(s.entries, runner)
	return known
}

// Retain forgets runners for which known is false.
func (s *Suspects) Retain(known func(runner string) bool) {
	maps.DeleteFunc(s.entries, func(runner string, _ suspicion) bool { return !known(runner) })
}

// Until returns a copy of the table: runner to the end of its avoidance.
func (s *Suspects) Until() map[string]time.Time {
	out := make(map[string]time.Time, len(s.entries))
	for runner, e := range s.entries {
		out[runner] = e.until
	}
	return out
}
