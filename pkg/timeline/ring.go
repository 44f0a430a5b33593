// Package timeline records typed events of a process and merges those of several processes in causal order.
//
// The order is that of Lamport counters, which every message between processes carries. Wall clocks play no part in it.
package timeline

import (
	"sync"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
)

// DefaultCapacity is the number of events that a ring keeps by default.
const DefaultCapacity = 4096

// Ring is a ring buffer of the newest events of one process. It is safe for concurrent use.
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

// NewRing returns a ring that keeps the newest capacity events of a process; a capacity of 0 or less means
// DefaultCapacity.
func NewRing(process, incarnation string, capacity int, now func() time.Time) *Ring {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	return &Ring{process: process, incarnation: incarnation, now: now, events: make([]*ferrypb.TimelineEvent, capacity)}
}

// Tick increments the Lamport counter and returns the value to send with a message.
func (r *Ring) Tick() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lamport++
	return r.lamport
}

// Observe advances the Lamport counter past that of a received message.
func (r *Ring) Observe(lamport uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lamport = max(r.lamport, lamport) + 1
}

// Add records an event; in a full ring it replaces the oldest one.
func (r *Ring) Add(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lamport++
	r.seq++
	r.events[r.next] = r.toProto(e)
	r.next++
	if r.next == len(r.events) {
		r.next = 0
		r.full = true
	}
}

func (r *Ring) toProto(e Event) *ferrypb.TimelineEvent {
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

// Snapshot returns the newest events that match the filter, oldest first and at most limit of them; 0 means no limit.
// Dropped counts all events replaced so far, whether or not they matched.
func (r *Ring) Snapshot(f Filter, limit int) *ferrypb.TimelineResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &ferrypb.TimelineResponse{Process: r.process, Incarnation: r.incarnation}
	for _, e := range r.oldestFirst() {
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

func (r *Ring) oldestFirst() []*ferrypb.TimelineEvent {
	if !r.full {
		return r.events[:r.next]
	}
	all := make([]*ferrypb.TimelineEvent, 0, len(r.events))
	all = append(all, r.events[r.next:]...)
	return append(all, r.events[:r.next]...)
}
