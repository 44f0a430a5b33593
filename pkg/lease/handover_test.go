package lease

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
)

// recordedState keeps the state that was imported last.
type recordedState struct {
	noState
	imported string
}

func (s *recordedState) ImportState(state string) { s.imported = state }

// Load pattern: a daemon reports to the holder for a while, and the holder is lost. Guards against a next holder that
// imports the state of when the daemon last read the record itself, and so exceeds the load rate.
func TestTakeoverImportsTheNewestState(t *testing.T) {
	now := 10 * time.Second
	store, state := newMemoryStore(), &recordedState{}
	store.rec, store.position = Record{Holder: "a", Address: "a:1", Token: 1, HandoverState: "old"}, 2
	b := NewElector(store, eventlog.Discard(), "b", "b:1", 0, NewFencedTiming(), state)
	b.now = func() time.Duration { return now }
	b.step(t.Context())
	store.rec.HandoverState, store.position = "new", 3
	b.RecordHolderContact(3)
	now += 5 * time.Second
	b.RecordHolderLost()
	now += time.Second
	for range 5 {
		b.step(t.Context())
	}
	if !b.Held() || state.imported != "new" {
		t.Errorf("held %v with the state %q, want the lease held with the state that the last holder wrote", b.Held(), state.imported)
	}
}
