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
	// freshAt is the time up to which the list is known to equal the platform's; zero if never.
	freshAt time.Time
	// deltas lead from earlier lists to the present one, oldest first.
	deltas []hostDelta
}

// Hosts returns the last list, which callers must not change.
func (c *HostCache) Hosts() []infra.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts
}

// Hash identifies the rows; 0 for none.
func (c *HostCache) Hash() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hash
}

// Age returns the time since the list was known to equal the platform's; -1 if it never was.
func (c *HostCache) Age(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.freshAt.IsZero() {
		return -1
	}
	return max(0, now.Sub(c.freshAt))
}

// Store takes over a list, ordered by name, that equalled the platform's at a time. A list older than the present one is dropped.
func (c *HostCache) Store(hosts []infra.Host, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.Before(c.freshAt) {
		return
	}
	c.freshAt = at
	hosts = byName(hosts)
	if c.hash != 0 && slices.Equal(c.hosts, hosts) {
		return
	}
	c.replace(hosts)
}

// replace puts a different list in force.
func (c *HostCache) replace(hosts []infra.Host) {
	if c.hash != 0 {
		c.deltas = append(c.deltas, newHostDelta(c.hash, c.hosts, hosts))
		c.deltas = c.deltas[max(0, len(c.deltas)-maxDeltas):]
	}
	c.hosts = hosts
	c.hash = hashHosts(hosts)
	c.Changes.Notify()
}

// renew notes that the rows with a hash equalled the platform's at a time.
func (c *HostCache) renew(hash uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if hash == c.hash && at.After(c.freshAt) {
		c.freshAt = at
	}
}

// update answers a reader that has the list with the given hash.
func (c *HostCache) update(known uint64, now time.Time) *ferrypb.HostsUpdate {
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
	if c.sinceKnown(known, out) {
		return out
	}
	for _, h := range c.hosts {
		out.Rows = append(out.Rows, hostRow(h))
	}
	return out
}

// sinceKnown fills in what changed since an earlier list; false if that list is not remembered.
func (c *HostCache) sinceKnown(known uint64, out *ferrypb.HostsUpdate) bool {
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

// apply takes over a parent's list.
func (c *HostCache) apply(u *ferrypb.HostsUpdate, now time.Time) {
	if u == nil || u.AgeMillis < 0 {
		return
	}
	at := now.Add(-time.Duration(u.AgeMillis) * time.Millisecond)
	if u.Hash == c.Hash() {
		c.renew(u.Hash, at)
		return
	}
	words := interner{}
	rows := make([]infra.Host, 0, len(u.Rows))
	for _, r := range u.Rows {
		rows = append(rows, words.host(r))
	}
	if u.Base == 0 {
		c.Store(rows, at)
		return
	}
	c.applyDelta(hostDelta{base: u.Base, rows: rows, removed: u.Removed}, u.Hash, at)
}

// applyDelta continues the list that the delta is based on. A result with another hash is dropped with the own hash, so
// that the next answer brings the whole list.
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

func byName(hosts []infra.Host) []infra.Host {
	compare := func(a, b infra.Host) int { return cmp.Compare(a.Name, b.Name) }
	if slices.IsSortedFunc(hosts, compare) {
		return hosts
	}
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, compare)
	return sorted
}

// interner shares equal strings of one list.
type interner map[string]string

func (i interner) share(s string) string {
	if known, ok := i[s]; ok {
		return known
	}
	i[s] = s
	return s
}

func (i interner) host(r *ferrypb.HostRow) infra.Host {
	return infra.Host{Name: r.Name, Role: infra.Role(i.share(r.Role)), Address: r.Address, Region: i.share(r.Region),
		FailureDomain: i.share(r.FailureDomain), State: infra.HostState(i.share(r.State))}
}

// hashHosts identifies a list by its rows in order; it is never 0.
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
