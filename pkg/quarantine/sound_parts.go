package quarantine

import "time"

// soundGeneration is the number of parts after which the older half of them is forgotten.
const soundGeneration = 4096

// soundParts holds when a runner was last known to have survived a part. It forgets the parts that were not recorded for
// longest.
type soundParts struct {
	recent map[string]time.Time
	older  map[string]time.Time
}

func newSoundParts() *soundParts { return &soundParts{recent: map[string]time.Time{}} }

// at returns the zero time for a part that no runner is known to have survived.
func (s *soundParts) at(part string) time.Time {
	if at, ok := s.recent[part]; ok {
		return at
	}
	return s.older[part]
}

func (s *soundParts) add(part string, at time.Time) {
	if !at.After(s.at(part)) {
		return
	}
	if len(s.recent) >= soundGeneration {
		s.recent, s.older = map[string]time.Time{}, s.recent
	}
	s.recent[part] = at
}
