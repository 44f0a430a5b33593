package timeline

import (
	"testing"
	"time"
)

func fixedNow() time.Time { return time.UnixMilli(0) }

// Guards against an event that is listed before its cause in another process when the clocks of the two disagree. The
// names sort the receiver first, so that only the Lamport counter can give the right order.
func TestMergeFollowsMessages(t *testing.T) {
	sender := NewRing("z-sender", "1", 8, fixedNow)
	receiver := NewRing("a-receiver", "1", 8, fixedNow)
	for range 3 {
		sender.Add(Event{Kind: AttemptStarted})
	}
	receiver.Observe(sender.Tick())
	receiver.Add(Event{Kind: ExecAccepted})
	merged := Merge(receiver.Snapshot(Filter{}, 0), sender.Snapshot(Filter{}, 0))
	if last := merged[len(merged)-1]; last.Kind != string(ExecAccepted) {
		t.Fatalf("last event of the merged timeline: %s, want %s", last.Kind, ExecAccepted)
	}
}

// Guards against a ring that grows without bound or does not report dropped events.
func TestRingIsBounded(t *testing.T) {
	r := NewRing("p", "1", 4, fixedNow)
	for range 10 {
		r.Add(Event{Kind: ExecDone})
	}
	s := r.Snapshot(Filter{}, 0)
	if len(s.Events) != 4 || s.Dropped != 6 {
		t.Fatalf("ring of 4 after 10 events: %d kept and %d dropped, want 4 and 6", len(s.Events), s.Dropped)
	}
	if s.Events[0].Seq != 7 {
		t.Fatalf("sequence number of the oldest kept event: %d, want 7", s.Events[0].Seq)
	}
}
