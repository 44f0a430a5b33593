package fleet

import (
	"maps"
	"slices"
	"time"
)

const (
	// storeOutageGrace is how long servers that disappeared from the list during an outage or a restore of the store are
	// kept. Entries that expired or were lost meanwhile are registered again within two seconds of the store's recovery.
	storeOutageGrace = 1800 * time.Millisecond
	// outageShare is the share of the servers that are missing after failed reads only if the store was away: it then
	// drops the entries of all servers that it has not heard of. A daemon whose own reads failed finds only those missing
	// that have left meanwhile; they must get no more requests, and the grace would come on top of the failed reads.
	outageShare = 0.25
)

// Registry merges the reports of backend servers into the current set of servers. It reads no clock and does no I/O,
// and it is not safe for concurrent use.
type Registry struct {
	servers map[string]Server
	// removeAt holds, by server id, when a server that disappeared during an outage is removed.
	removeAt map[string]time.Time
	version  uint64
	// changedVersion and removedVersion hold the registry version at which a server changed or was removed.
	changedVersion map[string]uint64
	removedVersion map[string]uint64
	// forgottenVersion is the version up to which removals may be missing from removedVersion.
	forgottenVersion uint64
	// removedServers holds the newest report of each removed server, so that late reports do not bring it back.
	removedServers map[string]Server
}

// maxRemovedServers bounds the removed servers that are remembered.
const maxRemovedServers = 512

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{servers: map[string]Server{}, removeAt: map[string]time.Time{},
		changedVersion: map[string]uint64{}, removedVersion: map[string]uint64{}, removedServers: map[string]Server{}}
}

// ApplyReport applies a report of a server. Reports of an older incarnation, and older reports of the same one, are
// ignored.
func (r *Registry) ApplyReport(s Server) {
	known, ok := r.servers[s.ID]
	if ok && s.olderThan(&known) {
		return
	}
	if last, dropped := r.removedServers[s.ID]; dropped && (s.olderThan(&last) || (s.StartMillis == last.StartMillis && s.Sequence == last.Sequence)) {
		return
	}
	if ok && known.Draining && known.StartMillis == s.StartMillis {
		s.Draining = true
	}
	delete(r.removeAt, s.ID)
	r.servers[s.ID] = s
	if ok && known.equivalent(&s) {
		return
	}
	r.version++
	r.changedVersion[s.ID] = r.version
	delete(r.removedVersion, s.ID)
	delete(r.removedServers, s.ID)
}

// LostInOutage reports whether that many servers that disappeared after failed reads were dropped by an outage of the
// store, so that their entries may return.
func (r *Registry) LostInOutage(missing int) bool {
	return float64(missing) > outageShare*float64(len(r.servers))
}

// Remove removes a server. After an outage of the store it is kept for a grace period, because its entry may return.
func (r *Registry) Remove(id string, afterOutage bool, now time.Time) {
	if _, ok := r.servers[id]; !ok {
		return
	}
	if afterOutage {
		if _, ok := r.removeAt[id]; !ok {
			r.removeAt[id] = now.Add(storeOutageGrace)
		}
		return
	}
	r.removeNow(id)
}

// Replace applies a complete list of servers; servers that are not in the list are removed as by Remove.
func (r *Registry) Replace(list []Server, afterOutage bool, now time.Time) {
	missing := r.applyList(list)
	r.removeMissing(missing, afterOutage && r.LostInOutage(len(missing)), now)
}

// ReplaceRestored applies the first complete list after the store was restored from an earlier copy. Any number of
// servers may be missing because the copy is older than their entries, so they are kept for the grace period. It starts
// again with each restore, because servers can write their entries only once the store is back.
func (r *Registry) ReplaceRestored(list []Server, now time.Time) {
	for _, id := range r.applyList(list) {
		r.removeAt[id] = now.Add(storeOutageGrace)
	}
}

// applyList applies the reports of a complete list and returns the known servers that it lacks.
func (r *Registry) applyList(list []Server) []string {
	listed := make(map[string]bool, len(list))
	for i := range list {
		listed[list[i].ID] = true
		r.ApplyReport(list[i])
	}
	var missing []string
	for id := range r.servers {
		if !listed[id] {
			missing = append(missing, id)
		}
	}
	return missing
}

// removeMissing removes servers that a list lacks, as by Remove. A grace period that has begun goes on: a later list
// without the server tells nothing new.
func (r *Registry) removeMissing(missing []string, afterOutage bool, now time.Time) {
	for _, id := range missing {
		if _, kept := r.removeAt[id]; !kept {
			r.Remove(id, afterOutage, now)
		}
	}
}

// Expire removes the servers whose grace period has ended and reports whether there were any.
func (r *Registry) Expire(now time.Time) bool {
	dropped := false
	for id, until := range r.removeAt {
		if !now.Before(until) {
			r.removeNow(id)
			dropped = true
		}
	}
	return dropped
}

func (r *Registry) removeNow(id string) {
	if len(r.removedVersion) >= maxRemovedServers {
		r.forgetOldRemovals()
	}
	r.removedServers[id] = r.servers[id]
	delete(r.servers, id)
	delete(r.removeAt, id)
	delete(r.changedVersion, id)
	r.version++
	r.removedVersion[id] = r.version
}

// forgetOldRemovals forgets the older half of the removals. The newest are needed longest: a store that is restored from a
// copy some seconds old has the entries of servers that have just left.
func (r *Registry) forgetOldRemovals() {
	versions := slices.Sorted(maps.Values(r.removedVersion))
	r.forgottenVersion = versions[len(versions)/2]
	for id, version := range r.removedVersion {
		if version <= r.forgottenVersion {
			delete(r.removedVersion, id)
			delete(r.removedServers, id)
		}
	}
}

// Version returns the version of the set of servers, which increases with every change.
func (r *Registry) Version() uint64 { return r.version }

// Servers returns a copy of the current set.
func (r *Registry) Servers() map[string]Server { return maps.Clone(r.servers) }

// ForgottenVersion returns the version up to which removals may be missing from Changes, because only a bounded number is
// kept. A daemon with an older version needs the complete list.
func (r *Registry) ForgottenVersion() uint64 { return r.forgottenVersion }

// Changes returns copies of the maps that hold, by server id, the versions at which servers changed and were removed.
func (r *Registry) Changes() (changed, removed map[string]uint64) {
	return maps.Clone(r.changedVersion), maps.Clone(r.removedVersion)
}
