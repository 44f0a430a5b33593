// Package timeline records typed events of a process in causal order.
//
// The order rests on a Lamport counter that every message between processes carries, never on clocks.
package timeline

import (
	"sync"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
)

// DefaultCapacity is the number of events that a ring keeps.
const DefaultCapacity = 4096

// Ring keeps the newest events of one process. It is safe for concurrent use.
type Ring struct {
	process     string
	incarnation string
	now         func() time.Time

	mu      sync.Mutex
	lamport uint64
	seq     uint64
	events  []*ferrypb.TimelineEvent
	next    int
	full    bool
}

// NewRing returns a ring for a process that keeps up to capacity events.
func NewRing(process, incarnation string, capacity int, now func() time.Time) *Ring {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	return &Ring{process: process, incarnation: incarnation, now: now, events: make([]*ferrypb.TimelineEvent, capacity)}
}

// Tick advances the Lamport counter for a message to be sent and returns it.
func (r *Ring) Tick() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lamport++
	return r.lamport
}

// Observe merges the Lamport counter of a received message.
func (r *Ring) Observe(lamport uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lamport = max(r.lamport, lamport) + 1
}

// Add records an event.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lamport++
	r.seq++
	r.events[r.next] = r.message(e)
	r.next++
	if r.next == len(r.events) {
		r.next = 0
		r.full = true
	}
}

func (r *Ring) message(e Event) *ferrypb.TimelineEvent {
	return &ferrypb.TimelineEvent{
		Process:     r.process,
		Incarnation: r.incarnation,
		Lamport:     r.lamport,
		Seq:         r.seq,
		UnixMillis:  r.now().UnixMilli(),
		Kind:        string(e.Kind),
		RequestId:   e.RequestID,
		AttemptId:   e.AttemptID,
		Object:      e.Object,
		Host:        e.Host,
		Detail:      e.Detail,
	}
}

// Snapshot returns the matching events in order, at most limit of the newest ones; 0 means all.
func (r *Ring) Snapshot(f Filter, limit int) *ferrypb.TimelineResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &ferrypb.TimelineResponse{Process: r.process, Incarnation: r.incarnation}
	for _, e := range r.ordered() {
		if f.Match(e) {
			out.Events = append(out.Events, e)
		}
	}
	if limit > 0 && len(out.Events) > limit {
		out.Events = out.Events[len(out.Events)-limit:]
	}
	if r.full {
		out.Dropped = r.seq - uint64(len(r.events))
	}
	return out
}

func (r *Ring) ordered() []*ferrypb.TimelineEvent {
	if !r.full {
		return r.events[:r.next]
	}
	all := make([]*ferrypb.TimelineEvent, 0, len(r.events))
	all = append(all, r.events[r.next:]...)
	return append(all, r.events[:r.next]...)
}
