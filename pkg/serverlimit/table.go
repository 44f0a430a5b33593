package serverlimit

import (
	"sync"
	"time"
)

// Table holds the limits of servers. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	servers map[string]*Observation
}

// NewTable returns a table without limits.
func NewTable() *Table { return &Table{servers: map[string]*Observation{}} }

// Observe records what a response told. It reports whether the limit has changed, and the limit before.
func (t *Table) Observe(server string, o Observation) (changed bool, before float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.servers[server]
	if !ok {
		if o.Rate == 0 {
			return false, 0
		}
		known = &Observation{}
		t.servers[server] = known
	}
	if known.limits(o.At) {
		before = known.Rate
	}
	if o.At.Before(known.At) {
		return false, before
	}
	*known = o
	if o.Rate == 0 {
		delete(t.servers, server)
	}
	return o.Rate != before, before
}

// Limited returns the number of servers that name a limit.
func (t *Table) Limited(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, o := range t.servers {
		if o.limits(now) {
			n++
		}
	}
	return n
}
