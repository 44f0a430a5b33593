package allowance

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Table holds this daemon's parts of the allowances. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	parts   map[string]*part
	wanted  chan struct{}
	changed chan struct{}
	// heard is when the last report was sent that a lending holder has answered.
	heard time.Duration
	// grace is the age of it from which units are gained.
	grace time.Duration
	// latest is the largest time passed in: parts run out even if readings of the clock went back.
	latest time.Duration
}

// NewTable returns a table without limits.
func NewTable() *Table {
	return &Table{parts: map[string]*part{}, wanted: make(chan struct{}, 1), changed: make(chan struct{}), grace: silenceGrace(0)}
}

// SetInterval sets the usual time between two reports.
func (t *Table) SetInterval(interval time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.grace = silenceGrace(interval)
}

// SetLimits sets the limits by the names of their allowances. Others are unlimited, and what the daemon has of them is
// forgotten.
func (t *Table) SetLimits(limits map[string]Limit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, p := range t.parts {
		if _, ok := limits[name]; !ok {
			p.free()
		}
	}
	for name, limit := range limits {
		if t.parts[name] == nil {
			t.parts[name] = &part{id: ID(name)}
		}
		t.parts[name].setLimit(limit)
	}
}

// Take deducts the units of a request, or tells why not. Requests that wait are served first, in the order in which they
// began to wait.
func (t *Table) Take(name string, units float64, now time.Duration) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.parts[name]
	if !ok || !p.limited() {
		return Result{Taken: true}
	}
	return p.take(units, t.heard, t.grace, t.advance(now))
}

// Await counts a request as waiting for units until done is called, and signals Wanted. The request calls Take again after
// each change.
func (t *Table) Await(name string, units float64) (done func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.parts[name]
	if !ok || !p.limited() {
		return func() {}
	}
	w := &waiter{units: units}
	p.waiting = append(p.waiting, w)
	select {
	case t.wanted <- struct{}{}:
	default:
	}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		p.remove(w)
	}
}

// GiveBack returns the units of a request that took them and was not run. Units that have run out meanwhile stay lost.
func (t *Table) GiveBack(name string, units float64, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.parts[name]; ok && p.limited() {
		p.available += units
		p.stats.Taken -= units
		p.lapse(t.heard, t.grace, t.advance(now))
	}
}

// Wanted receives when a request begins to wait.
func (t *Table) Wanted() <-chan struct{} { return t.wanted }

// NextReport returns the time until the holder should be told something that cannot wait for the next usual report; ok is
// false if there is nothing.
func (t *Table) NextReport(now time.Duration) (wait time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advance(now)
	for _, p := range t.parts {
		if left, due := p.nextReport(t.heard, t.grace, now); due && (!ok || left < wait) {
			wait, ok = left, true
		}
	}
	return wait, ok
}

// Changed is closed when the next answer of a holder has been applied, or units may have been gained without one.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Uses returns what the holder has to be told now, in ascending order of names.
func (t *Table) Uses(now time.Duration) []Use {
	t.mu.Lock()
	defer t.mu.Unlock()
	now = t.advance(now)
	if now-t.heard >= t.grace {
		// Waiting requests may use what the daemon has gained.
		t.notify()
	}
	var out []Use
	for _, name := range slices.Sorted(maps.Keys(t.parts)) {
		p := t.parts[name]
		if u, ok := p.use(t.heard, t.grace, now); ok && p.limited() {
			out = append(out, u)
		}
	}
	return out
}

// Apply applies the answer of a holder to a report that was sent at the given time with these uses. first is set for the
// first answer of a holder, which ignored the totals; lends is set unless the holder lends nothing now.
func (t *Table) Apply(uses []Use, grants []Grant, first, lends bool, sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if lends {
		for _, p := range t.parts {
			p.lapse(t.heard, t.grace, t.latest)
		}
		t.heard = max(t.heard, sent)
	}
	byID := make(map[uint64]*part, len(t.parts))
	for name, p := range t.parts {
		byID[p.id] = p
		if first {
			p.restart()
			if !p.limited() {
				delete(t.parts, name)
			}
		}
	}
	told := make(map[uint64]*Use, len(uses))
	for i := range uses {
		told[uses[i].ID] = &uses[i]
	}
	for i := range grants {
		g := &grants[i]
		if p, u := byID[g.ID], told[g.ID]; p != nil && u != nil {
			if first {
				u.Received, u.Returned, u.Gained = 0, 0, 0
			}
			p.apply(u, g, sent)
		}
	}
	t.notify()
}

func (t *Table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Stats returns the totals of each allowance by its name.
func (t *Table) Stats() map[string]Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]Stats, len(t.parts))
	for name, p := range t.parts {
		if p.limited() {
			out[name] = p.stats
		}
	}
	return out
}

func (t *Table) advance(now time.Duration) time.Duration {
	t.latest = max(t.latest, now)
	return t.latest
}
