package hosts

import (
	"cmp"
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/infra"
)

// change is an addition, replacement or removal of one host that is not visible to readers yet.
type change struct {
	at time.Time
	// host is nil for a removal.
	host *infra.Host
	name string
}

// laggedList is a host list whose changes become visible to readers after a lag.
type laggedList struct {
	lag     time.Duration
	byName  map[string]infra.Host
	pending []change
}

func newLaggedList(lag time.Duration) *laggedList {
	return &laggedList{lag: lag, byName: map[string]infra.Host{}}
}

func (h *laggedList) put(now time.Time, host infra.Host) {
	h.pending = append(h.pending, change{at: now, host: &host, name: host.Name})
}

func (h *laggedList) remove(now time.Time, name string) {
	h.pending = append(h.pending, change{at: now, name: name})
}

// visible applies the changes that are at least the lag old and returns the hosts ordered by name.
func (h *laggedList) visible(now time.Time) []infra.Host {
	for len(h.pending) > 0 && now.Sub(h.pending[0].at) >= h.lag {
		h.apply(h.pending[0])
		h.pending = h.pending[1:]
	}
	list := make([]infra.Host, 0, len(h.byName))
	for _, host := range h.byName {
		list = append(list, host)
	}
	slices.SortFunc(list, func(a, b infra.Host) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (h *laggedList) apply(c change) {
	if c.host == nil {
		delete(h.byName, c.name)
		return
	}
	h.byName[c.name] = *c.host
}
