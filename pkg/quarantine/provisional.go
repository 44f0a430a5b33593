package quarantine

import (
	"maps"
	"slices"
	"time"
)

// provisionalTime is how long requests with a part are held off after a first crash. It covers the reports of further
// crashes by requests that have already been sent, which tell whether the part is the cause.
const provisionalTime = time.Second

// provisional returns an entry for each part that no runner is known to have survived and that was in a begun request at
// a crash within provisionalTime.
func (e *Evidence) provisional(now time.Time) []Entry {
	crashedAt := map[string]time.Time{}
	for _, c := range e.crashes {
		if now.Sub(c.At) >= provisionalTime {
			continue
		}
		for i := range c.Requests {
			for _, part := range c.Requests[i].Parts {
				if c.Requests[i].Begun && e.sound.at(part).IsZero() {
					crashedAt[part] = latest(crashedAt[part], c.At)
				}
			}
		}
	}
	out := make([]Entry, 0, len(crashedAt))
	for _, part := range slices.Sorted(maps.Keys(crashedAt)) {
		at := crashedAt[part]
		out = append(out, Entry{Parts: []string{part}, LastCrash: at, Until: at.Add(provisionalTime), Provisional: true})
	}
	return out
}
