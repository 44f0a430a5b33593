package routing

import (
	"maps"
	"time"
)

const (
	// minSuspectTime is how long a runner is avoided after its first failure; it covers a short pause of its process.
	minSuspectTime = 500 * time.Millisecond
	// maxSuspectTime bounds the backoff, so that a returned runner is used again within half a minute.
	maxSuspectTime = 30 * time.Second
)

// Suspects is a failure detector: it holds the runners that did not respond and are avoided for a while, with
// exponential backoff. It reads no clock and is not safe for concurrent use.
type Suspects struct {
	entries map[string]suspicion
}

// suspicion is the end of a runner's avoidance and its current length.
type suspicion struct {
	until   time.Time
	backoff time.Duration
}

// NewSuspects returns an empty table.
func NewSuspects() *Suspects {
	return &Suspects{entries: map[string]suspicion{}}
}

// RecordFailure records that a runner did not respond; it reports whether the runner was not avoided before. Further
// failures while it is avoided do not extend that time.
func (s *Suspects) RecordFailure(runner string, now time.Time) bool {
	e, known := s.entries[runner]
	if known && now.Before(e.until) {
		return false
	}
	e.backoff = min(max(2*e.backoff, minSuspectTime), maxSuspectTime)
	e.until = now.Add(e.backoff)
	s.entries[runner] = e
	return true
}

// Clear clears the suspicion of a runner that responded; it reports whether there was one.
func (s *Suspects) Clear(runner string) bool {
	_, known := s.entries[runner]
	delete(s.entries, runner)
	return known
}

// Retain removes runners for which known returns false.
func (s *Suspects) Retain(known func(runner string) bool) {
	maps.DeleteFunc(s.entries, func(runner string, _ suspicion) bool { return !known(runner) })
}

// Until returns a copy of the times until which the suspected runners are avoided. Times in the past may be included.
func (s *Suspects) Until() map[string]time.Time {
	out := make(map[string]time.Time, len(s.entries))
	for runner, e := range s.entries {
		out[runner] = e.until
	}
	return out
}
