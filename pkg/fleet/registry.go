package fleet

import (
	"maps"
	"time"
)

// restoreGrace is how long a server that disappeared during an outage of the store is still used: entries that lapsed
// then return within two seconds of the store's own return.
const restoreGrace = 1800 * time.Millisecond

// Registry folds the reports of backend servers into the current set. It is pure and not safe for concurrent use.
type Registry struct {
	servers map[string]Server
	// lapsing holds the time at which a server that disappeared is dropped.
	lapsing map[string]time.Time
	version uint64
	// changed and gone hold the version at which a server changed or was dropped.
	changed map[string]uint64
	gone    map[string]uint64
	// last holds the newest report of each dropped server.
	last map[string]Server
}

// goneLimit bounds the dropped servers that are remembered.
const goneLimit = 512

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{servers: map[string]Server{}, lapsing: map[string]time.Time{},
		changed: map[string]uint64{}, gone: map[string]uint64{}, last: map[string]Server{}}
}

// Report applies a report. Reports of an older incarnation, and older reports of the same one, change nothing.
func (r *Registry) Report(s Server) {
	known, ok := r.servers[s.ID]
	if ok && s.before(&known) {
		return
	}
	if last, dropped := r.last[s.ID]; dropped && (s.before(&last) || (s.BornMillis == last.BornMillis && s.Sequence == last.Sequence)) {
		return
	}
	if ok && known.Draining && known.BornMillis == s.BornMillis {
		s.Draining = true
	}
	delete(r.lapsing, s.ID)
	r.servers[s.ID] = s
	if ok && known.sameAs(&s) {
		return
	}
	r.version++
	r.changed[s.ID] = r.version
	delete(r.gone, s.ID)
	delete(r.last, s.ID)
}

// Remove drops a server. After an outage of the store the drop is delayed, because the entry may come back.
func (r *Registry) Remove(id string, afterOutage bool, now time.Time) {
	if _, ok := r.servers[id]; !ok {
		return
	}
	if afterOutage {
		if _, ok := r.lapsing[id]; !ok {
			r.lapsing[id] = now.Add(restoreGrace)
		}
		return
	}
	r.drop(id)
}

// Replace applies a complete list: servers that it lacks are removed.
func (r *Registry) Replace(list []Server, afterOutage bool, now time.Time) {
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].ID] = true
		r.Report(list[i])
	}
	for id := range r.servers {
		if !listed[id] {
			r.Remove(id, afterOutage, now)
		}
	}
}

// Expire drops the servers whose grace is over and reports whether there were any.
func (r *Registry) Expire(now time.Time) bool {
	dropped := false
	for id, until := range r.lapsing {
		if !now.Before(until) {
			r.drop(id)
			dropped = true
		}
	}
	return dropped
}

func (r *Registry) drop(id string) {
	if len(r.gone) >= goneLimit {
		clear(r.gone)
		clear(r.last)
	}
	r.last[id] = r.servers[id]
	delete(r.servers, id)
	delete(r.lapsing, id)
	delete(r.changed, id)
	r.version++
	r.gone[id] = r.version
}

// Version grows with every change.
func (r *Registry) Version() uint64 { return r.version }

// Servers returns a copy of the current set.
func (r *Registry) Servers() map[string]Server { return maps.Clone(r.servers) }

// Changes returns copies of the versions at which servers changed and were dropped.
func (r *Registry) Changes() (changed, gone map[string]uint64) {
	return maps.Clone(r.changed), maps.Clone(r.gone)
}
