package queue

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilferry.example/ferry/pkg/object"
)

// reference is an independent model of the queue's state, against which the queue is checked.
type reference struct {
	slots   int
	shares  map[string]float64
	waiting map[string]Request
	running map[string]Request
	started map[string]bool
	ended   map[string]bool
}

func (m *reference) overCap(r Request) bool {
	share, ok := m.shares[r.Workspace]
	if !ok {
		return false
	}
	held := 0
	for _, other := range m.running {
		if other.Workspace == r.Workspace {
			held++
		}
	}
	return held >= max(1, int(share*float64(m.slots)+1e-9))
}

func (m *reference) apply(t *rapid.T, started []Request, dropped []Dropped) {
	for _, r := range dropped {
		if _, ok := m.waiting[r.ID]; !ok {
			t.Fatalf("%s was dropped, but is not waiting", r.ID)
		}
		delete(m.waiting, r.ID)
		m.ended[r.ID] = true
	}
	for _, r := range started {
		if m.started[r.ID] {
			t.Fatalf("%s started twice", r.ID)
		}
		if _, ok := m.waiting[r.ID]; !ok {
			t.Fatalf("%s was started, but is not waiting", r.ID)
		}
		if m.overCap(r) {
			for _, other := range m.waiting {
				if !m.overCap(other) {
					t.Fatalf("%s of a member over its cap was started while %s of one under its cap waits", r.ID, other.ID)
				}
			}
		}
		delete(m.waiting, r.ID)
		m.running[r.ID] = r
		m.started[r.ID] = true
		if len(m.running) > m.slots {
			t.Fatalf("%d requests running, want at most %d, the number of slots", len(m.running), m.slots)
		}
	}
}

func drawRequest(t *rapid.T, n int, now time.Time) Request {
	r := Request{
		ID:           fmt.Sprintf("r%d", n),
		Workspace:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
		Model:        "m",
		Priority:     int32(rapid.IntRange(-3, 3).Draw(t, "priority")),
		Arrived:      now,
		PromptTokens: uint32(rapid.IntRange(1, 6000).Draw(t, "tokens")),
	}
	if rapid.Bool().Draw(t, "target") {
		r.FirstTokenBy = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "due")) * time.Millisecond)
	}
	return r
}

// Guards against exceeded caps, lost requests, requests that start twice and starvation, for any order of calls.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		q := New(DefaultConfig(), Rates{Slots: slots, PrefillTokensPerSecond: 10_000, DecodeTokensPerSecond: 25})
		m := &reference{slots: slots, shares: map[string]float64{}, waiting: map[string]Request{},
			running: map[string]Request{}, started: map[string]bool{}, ended: map[string]bool{}}
		m.shares["a"] = rapid.Float64Range(0.1, 1).Draw(t, "shareA")
		m.shares["b"] = rapid.Float64Range(0.1, 1).Draw(t, "shareB")
		q.SetCaps([]*object.Cap{
			{MemberKind: object.MemberWorkspace, Member: "a", Share: m.shares["a"]},
			{MemberKind: object.MemberWorkspace, Member: "b", Share: m.shares["b"]},
		})
		now := epoch
		n := 0
		steps := rapid.IntRange(1, 120).Draw(t, "steps")
		for range steps {
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0, 1:
				n++
				r := drawRequest(t, n, now)
				if q.Admit(now, r) == nil {
					m.waiting[r.ID] = r
				}
			case 2:
				started, dropped := q.StartNext(now)
				m.apply(t, started, dropped)
			case 3:
				now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "pass")) * time.Millisecond)
			case 4:
				finishOne(q, m, now)
			}
			if q.Waiting() != len(m.waiting) || q.Running() != len(m.running) {
				t.Fatalf("waiting %d and running %d, want %d and %d", q.Waiting(), q.Running(), len(m.waiting), len(m.running))
			}
		}
		drainAll(t, q, m, now)
	})
}

func finishOne(q *Queue, m *reference, now time.Time) {
	first := ""
	for id := range m.running {
		if first == "" || id < first {
			first = id
		}
	}
	if first == "" {
		return
	}
	q.Finish(now, first)
	delete(m.running, first)
	m.ended[first] = true
}

// drainAll finishes running requests one by one while short urgent requests keep arriving. Every request that was
// waiting at the beginning must start or be dropped.
func drainAll(t *rapid.T, q *Queue, m *reference, now time.Time) {
	old := map[string]bool{}
	for id := range m.waiting {
		old[id] = true
	}
	for i := 0; len(old) > 0; i++ {
		if i > 2000 {
			t.Fatalf("still waiting after %d steps: %v, want none", i, old)
		}
		now = now.Add(50 * time.Millisecond)
		r := Request{ID: fmt.Sprintf("late%d", i), Workspace: "c", Model: "m", Priority: 10, Arrived: now,
			FirstTokenBy: now.Add(time.Second), PromptTokens: 10}
		if q.Admit(now, r) == nil {
			m.waiting[r.ID] = r
		}
		started, dropped := q.StartNext(now)
		m.apply(t, started, dropped)
		finishOne(q, m, now)
		finishOne(q, m, now)
		for id := range old {
			if m.started[id] || m.ended[id] {
				delete(old, id)
			}
		}
	}
}
