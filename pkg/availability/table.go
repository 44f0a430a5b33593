package availability

import (
	"sync"
	"time"
)

// Table holds what the incarnations of servers have said. It is safe for concurrent use; a nil table knows nothing.
//
// Records are kept by incarnation, so that none survives its server, and a late response of an earlier incarnation
// changes nothing for a later one.
type Table struct {
	mu      sync.Mutex
	records map[Incarnation]*record
	// newest holds the latest start of each id that has had a record.
	newest map[string]int64
	// notify is called with each change, without the lock.
	notify func(Change)
	// random returns a number in [0, 1).
	random func() float64
}

// NewTable returns an empty table that calls notify with each change; random returns numbers in [0, 1).
func NewTable(random func() float64, notify func(Change)) *Table {
	return &Table{records: map[Incarnation]*record{}, newest: map[string]int64{}, random: random, notify: notify}
}

// Record records what a response says.
func (t *Table) Record(server Incarnation, a Answer) {
	if t == nil {
		return
	}
	t.mu.Lock()
	changes := t.record(server, &a)
	t.mu.Unlock()
	t.notifyAll(changes)
}

func (t *Table) record(server Incarnation, a *Answer) []Change {
	var changes []Change
	// Leaving is final: a response without the mark was given before it, or the mark was forgotten in it.
	if a.Leaving {
		r := t.get(server)
		if a.At.After(r.lastAt) {
			r.lastAt = a.At
		}
		if a.SentAt.After(r.leavingSentAt) {
			r.leavingSentAt = a.SentAt
		}
		if !r.leaving {
			r.leaving, r.leavingSince = true, a.At
			changes = append(changes, Change{Kind: LeavingBegan, Server: server, Source: a.Source, Age: a.At.Sub(a.SentAt)})
		}
	}
	switch {
	case a.Pause > 0:
		changes = append(changes, t.recordPause(server, a)...)
	case a.Accepted:
		changes = append(changes, t.recordAccepted(server, a)...)
	}
	return changes
}

// recordPause begins or extends a pause. It counts from the arrival of the response, which is never before the server
// gave it, and so ends no earlier than the server asked for.
func (t *Table) recordPause(server Incarnation, a *Answer) []Change {
	r := t.get(server)
	r.lastAt = a.At
	var changes []Change
	if r.pause != nil && !a.At.Before(r.pause.until) {
		changes = append(changes, Change{Kind: PauseEnded, Server: server, Age: r.pause.until.Sub(r.pause.since)})
		r.pause = nil
	}
	change := Change{Kind: PauseExtended, Server: server, Source: a.Source, Age: a.At.Sub(a.SentAt)}
	if r.pause == nil {
		r.pause = &pause{since: a.At, lot: t.random()}
		change.Kind = PauseBegan
	}
	r.pause.saidAt = a.At
	r.pause.extend(a.Pause, a.At)
	if change.Left = r.pause.until.Sub(a.At); change.Kind == PauseBegan || r.pause.until.Sub(r.pause.notified) >= minNotifiedExtension {
		r.pause.notified = r.pause.until
		changes = append(changes, change)
	}
	return changes
}

// recordAccepted ends the return after a pause if the request was sent in it. A request of before says nothing of it.
func (t *Table) recordAccepted(server Incarnation, a *Answer) []Change {
	r := t.find(server)
	if r == nil || r.pause == nil || a.SentAt.Before(r.pause.resumeAt) {
		return nil
	}
	change := Change{Kind: PauseEnded, Server: server, Source: a.Source, Age: r.pause.until.Sub(r.pause.since)}
	t.endPause(server, r)
	return []Change{change}
}

// endPause removes the pause, and the record if it says nothing else.
func (t *Table) endPause(server Incarnation, r *record) {
	r.pause = nil
	if !r.leaving {
		delete(t.records, server)
	}
}

func (t *Table) get(server Incarnation) *record {
	r := t.find(server)
	if r == nil {
		r = &record{}
		t.records[server] = r
		if born, known := t.newest[server.ID]; !known || born < server.StartMillis {
			t.newest[server.ID] = server.StartMillis
		}
	}
	return r
}

// Leaving reports whether the server has said that it leaves.
func (t *Table) Leaving(server Incarnation) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.find(server)
	return r != nil && r.leaving
}

// PauseLeft returns how long this daemon may send the server no request; 0 if it may now. After a pause it may send one
// request in each returnInterval.
func (t *Table) PauseLeft(server Incarnation, now time.Time) time.Duration {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.find(server)
	if r == nil || r.pause == nil {
		return 0
	}
	return r.pause.left(now)
}

// Admit reports whether a request may be sent to the server now, and counts it if so. It is called last before a request
// is sent, because the server may have spoken since it was chosen.
func (t *Table) Admit(server Incarnation, now time.Time) bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.find(server)
	if r == nil {
		return true
	}
	if r.leaving || (r.pause != nil && r.pause.left(now) > 0) {
		return false
	}
	if r.pause != nil {
		r.pause.lastSent = now
	}
	return true
}

// unlistedTime is how long the record of a server that is not listed is kept. An entry may expire while the store is
// away and come back for the same incarnation.
const unlistedTime = 10 * time.Minute

// Retain removes the records of incarnations that have ended, and pauses that are over. listed holds the start times of
// the listed servers by id.
func (t *Table) Retain(listed map[string]int64, now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	var changes []Change
	for id, born := range listed {
		t.find(Incarnation{ID: id, StartMillis: born})
	}
	for server, r := range t.records {
		ended := t.hasEnded(server, r, listed, now)
		if ended && r.leaving {
			changes = append(changes, Change{Kind: LeavingEnded, Server: server, Age: now.Sub(r.leavingSince)})
		}
		if r.pause != nil && (ended || r.pause.over(now)) {
			changes = append(changes, Change{Kind: PauseEnded, Server: server, Age: r.pause.until.Sub(r.pause.since)})
			t.endPause(server, r)
		}
		if ended {
			delete(t.records, server)
		}
	}
	for id, born := range t.newest {
		if _, ok := t.records[Incarnation{ID: id, StartMillis: born}]; !ok {
			delete(t.newest, id)
		}
	}
	t.mu.Unlock()
	t.notifyAll(changes)
}

// hasEnded reports whether an incarnation has ended, as far as the list shows; it may be older than the record.
func (t *Table) hasEnded(server Incarnation, r *record, listed map[string]int64, now time.Time) bool {
	born, ok := listed[server.ID]
	current := ok && born == server.StartMillis
	mayReturn := (!ok || born < server.StartMillis) && now.Sub(r.lastAt) < unlistedTime
	return !current && !mayReturn
}

// Marks returns the incarnations that have said that they leave and for which wanted returns true, in no order.
func (t *Table) Marks(wanted func(Mark) bool) []Mark {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Mark
	for server, r := range t.records {
		if m := (Mark{Server: server, Since: r.leavingSince}); r.leaving && wanted(m) {
			out = append(out, m)
		}
	}
	return out
}

// Count returns the numbers of servers that have said that they leave and of those that pause now.
func (t *Table) Count(now time.Time) (leaving, paused int) {
	if t == nil {
		return 0, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		if r.leaving {
			leaving++
		}
		if r.pause != nil && now.Before(r.pause.until) {
			paused++
		}
	}
	return leaving, paused
}

func (t *Table) notifyAll(changes []Change) {
	for _, c := range changes {
		t.notify(c)
	}
}
