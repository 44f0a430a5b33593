package hosts

import (
	"cmp"
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/infra"
)

// change is one change of the list that readers may not see yet.
type change struct {
	at time.Time
	// host is nil for a removal.
	host *infra.Host
	name string
}

// history is the list as readers see it, and the changes they do not see yet.
type history struct {
	lag     time.Duration
	seen    map[string]infra.Host
	pending []change
}

func newHistory(lag time.Duration) *history {
	return &history{lag: lag, seen: map[string]infra.Host{}}
}

func (h *history) put(now time.Time, host infra.Host) {
	h.pending = append(h.pending, change{at: now, host: &host, name: host.Name})
}

func (h *history) remove(now time.Time, name string) {
	h.pending = append(h.pending, change{at: now, name: name})
}

// visible returns the list as of now minus the lag, ordered by name.
func (h *history) visible(now time.Time) []infra.Host {
	for len(h.pending) > 0 && now.Sub(h.pending[0].at) >= h.lag {
		h.apply(h.pending[0])
		h.pending = h.pending[1:]
	}
	list := make([]infra.Host, 0, len(h.seen))
	for _, host := range h.seen {
		list = append(list, host)
	}
	slices.SortFunc(list, func(a, b infra.Host) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (h *history) apply(c change) {
	if c.host == nil {
		delete(h.seen, c.name)
		return
	}
	h.seen[c.name] = *c.host
}
