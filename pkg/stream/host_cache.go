package stream

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/infra"
)

// HostCache holds the last known host list. It is safe for concurrent use.
type HostCache struct {
	// Changes is notified when the rows change.
	Changes *Signal

	mu    sync.Mutex
	hosts []infra.Host
	hash  uint64
	// freshAt is the latest time at which the list is known to have matched the platform's; zero if never.
	freshAt time.Time
	// deltas lead from earlier lists to the current one, oldest first.
	deltas []hostDelta
}

// Hosts returns the last list. Callers must not modify it.
func (c *HostCache) Hosts() []infra.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts
}

// Hash returns a hash of the rows; 0 if there is no list.
func (c *HostCache) Hash() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hash
}

// Age returns the time since the list was last known to match the platform's; -1 if it never was.
func (c *HostCache) Age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.freshAt.IsZero() {
		return -1
	}
	return max(0, now.Sub(c.freshAt))
}

// Store replaces the list by one that matched the platform's at the given time, and sorts it by name. A list older
// than the current one is ignored.
func (c *HostCache) Store(hosts []infra.Host, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.Before(c.freshAt) {
		return
	}
	c.freshAt = at
	hosts = sortedByName(hosts)
	if c.hash != 0 && slices.Equal(c.hosts, hosts) {
		return
	}
	c.replace(hosts)
}

// replace sets a list that differs from the current one.
func (c *HostCache) replace(hosts []infra.Host) {
	if c.hash != 0 {
		c.deltas = append(c.deltas, newHostDelta(c.hash, c.hosts, hosts))
		c.deltas = c.deltas[max(0, len(c.deltas)-maxDeltas):]
	}
	c.hosts = hosts
	c.hash = hashHosts(hosts)
	c.Changes.Notify()
}

// confirm records that the list with the given hash matched the platform's at the given time.
func (c *HostCache) confirm(hash uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if hash == c.hash && at.After(c.freshAt) {
		c.freshAt = at
	}
}

// updateSince returns the response for a reader whose list has the hash known: nothing but the age if the list is
// current, a delta if the difference is still stored, otherwise all rows.
func (c *HostCache) updateSince(known uint64, now time.Time) *ferrypb.HostsUpdate {
	age := c.Age(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	out := &ferrypb.HostsUpdate{Hash: c.hash, AgeMillis: -1}
	if age >= 0 {
		out.AgeMillis = age.Milliseconds()
	}
	if known == c.hash {
		return out
	}
	if c.addDelta(known, out) {
		return out
	}
	for _, h := range c.hosts {
		out.Rows = append(out.Rows, hostRow(h))
	}
	return out
}

// addDelta adds the changes since the list with the hash known to out. It returns false if that list is no longer
// stored.
func (c *HostCache) addDelta(known uint64, out *ferrypb.HostsUpdate) bool {
	first := slices.IndexFunc(c.deltas, func(d hostDelta) bool { return d.base == known })
	if known == 0 || first < 0 {
		return false
	}
	out.Base = known
	merged := mergeDeltas(c.deltas[first:])
	for _, h := range merged.rows {
		out.Rows = append(out.Rows, hostRow(h))
	}
	out.Removed = merged.removed
	return true
}

// apply applies an update from a parent.
func (c *HostCache) apply(u *ferrypb.HostsUpdate, now time.Time) {
	if u == nil || u.AgeMillis < 0 {
		return
	}
	at := now.Add(-time.Duration(u.AgeMillis) * time.Millisecond)
	if u.Hash == c.Hash() {
		c.confirm(u.Hash, at)
		return
	}
	interned := interner{}
	rows := make([]infra.Host, 0, len(u.Rows))
	for _, r := range u.Rows {
		rows = append(rows, interned.host(r))
	}
	if u.Base == 0 {
		c.Store(rows, at)
		return
	}
	c.applyDelta(hostDelta{base: u.Base, rows: rows, removed: u.Removed}, u.Hash, at)
}

// applyDelta applies a delta if it is based on the current list. If the result does not have the expected hash, it is
// discarded and the cache's hash is cleared, so that the next response brings the complete list.
func (c *HostCache) applyDelta(d hostDelta, hash uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d.base != c.hash || at.Before(c.freshAt) {
		return
	}
	hosts := d.apply(c.hosts)
	if hashHosts(hosts) != hash {
		c.hash = 0
		return
	}
	c.freshAt = at
	c.replace(hosts)
}

func hostRow(h infra.Host) *ferrypb.HostRow {
	return &ferrypb.HostRow{Name: h.Name, Role: string(h.Role), Address: h.Address, Region: h.Region,
		FailureDomain: h.FailureDomain, State: string(h.State)}
}

func sortedByName(hosts []infra.Host) []infra.Host {
	compare := func(a, b infra.Host) int { return cmp.Compare(a.Name, b.Name) }
	if slices.IsSortedFunc(hosts, compare) {
		return hosts
	}
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, compare)
	return sorted
}

// interner deduplicates the strings of one list.
type interner map[string]string

func (i interner) intern(s string) string {
	if known, ok := i[s]; ok {
		return known
	}
	i[s] = s
	return s
}

func (i interner) host(r *ferrypb.HostRow) infra.Host {
	return infra.Host{Name: r.Name, Role: infra.Role(i.intern(r.Role)), Address: r.Address, Region: i.intern(r.Region),
		FailureDomain: i.intern(r.FailureDomain), State: infra.HostState(i.intern(r.State))}
}

// hashHosts returns a hash of the rows in their order; it is never 0.
func hashHosts(hosts []infra.Host) uint64 {
	d := xxhash.New()
	for _, h := range hosts {
		for _, field := range []string{h.Name, string(h.Role), h.Address, h.Region, h.FailureDomain, string(h.State)} {
			_, _ = d.WriteString(field)
			_, _ = d.WriteString("\x00")
		}
	}
	return max(1, d.Sum64())
}
