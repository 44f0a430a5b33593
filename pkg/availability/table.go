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
	// notify is called with each change, without the lock.
	notify func(Change)
}

// NewTable returns an empty table that calls notify with each change.
func NewTable(notify func(Change)) *Table {
	return &Table{records: map[Incarnation]*record{}, notify: notify}
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
	if !a.Leaving {
		// Leaving is final: a response without the mark was given before it, or the mark was forgotten in it.
		return nil
	}
	r := t.get(server)
	r.lastAt = a.At
	if r.leaving {
		return nil
	}
	r.leaving, r.leavingSince = true, a.At
	return []Change{{Kind: LeavingBegan, Server: server, Source: a.Source, Age: a.At.Sub(a.SentAt)}}
}

func (t *Table) get(server Incarnation) *record {
	r, ok := t.records[server]
	if !ok {
		r = &record{}
		t.records[server] = r
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
	r, ok := t.records[server]
	return ok && r.leaving
}

// Admit reports whether a request may be sent to the server now. It is called last before a request is sent, because the
// server may have spoken since it was chosen.
func (t *Table) Admit(server Incarnation, _ time.Time) bool { return !t.Leaving(server) }

// unlistedTime is how long the record of a server that is not listed is kept. An entry may expire while the store is
// away and come back for the same incarnation.
const unlistedTime = 10 * time.Minute

// Retain removes the records of incarnations that have ended. listed holds the start times of the listed servers by id.
func (t *Table) Retain(listed map[string]int64, now time.Time) {
	if t == nil {
		return
	}
	t.mu.Lock()
	var changes []Change
	for server, r := range t.records {
		born, ok := listed[server.ID]
		current := ok && born == server.StartMillis
		// The list may be older than the record.
		mayReturn := (!ok || born < server.StartMillis) && now.Sub(r.lastAt) < unlistedTime
		if current || mayReturn {
			continue
		}
		delete(t.records, server)
		if r.leaving {
			changes = append(changes, Change{Kind: LeavingEnded, Server: server, Age: now.Sub(r.leavingSince)})
		}
	}
	t.mu.Unlock()
	t.notifyAll(changes)
}

// CountLeaving returns the number of servers that have said that they leave.
func (t *Table) CountLeaving() int {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.records {
		if r.leaving {
			n++
		}
	}
	return n
}

func (t *Table) notifyAll(changes []Change) {
	for _, c := range changes {
		t.notify(c)
	}
}
