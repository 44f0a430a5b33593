package timeline

import (
	"testing"
	"time"
)

func fixedNow() time.Time { return time.UnixMilli(0) }

// Guards against an effect that is listed before its cause when the clocks of two processes disagree.
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
		t.Fatalf("last event is %s", last.Kind)
	}
}

// Guards against a ring that grows without bound or hides that it lost events.
func TestRingIsBounded(t *testing.T) {
	r := NewRing("p", "1", 4, fixedNow)
	for range 10 {
		r.Add(Event{Kind: ExecDone})
	}
	s := r.Snapshot(Filter{}, 0)
	if len(s.Events) != 4 || s.Dropped != 6 {
		t.Fatalf("kept %d, dropped %d", len(s.Events), s.Dropped)
	}
	if s.Events[0].Seq != 7 {
		t.Fatalf("oldest kept event is %d", s.Events[0].Seq)
	}
}
