package agent

import (
	"context"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/queue"
)

// Guards against a slot that leaks when a waiting request is cancelled, and against requests that wait past their target.
func TestAdmissionReleasesSlots(t *testing.T) {
	q := NewAdmissionQueue(queue.DefaultConfig(), clock.System{})
	q.SetRates(queue.Rates{Slots: 1})
	slot, err := q.Admit(context.Background(), queue.Request{ID: "a", Arrived: time.Now()})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := q.Admit(ctx, queue.Request{ID: "b", Arrived: time.Now()}); !failure.HasCode(err, failure.ClientCancelled) {
		t.Fatalf("Admit with cancelled context: error %v, want code %s", err, failure.ClientCancelled)
	}
	late := queue.Request{ID: "c", Arrived: time.Now(), FirstTokenBy: time.Now().Add(20 * time.Millisecond)}
	if _, err := q.Admit(context.Background(), late); !failure.HasCode(err, failure.TargetMissed) {
		t.Fatalf("Admit of a late request: error %v, want code %s", err, failure.TargetMissed)
	}
	slot.Release()
	slot.Release()
	if waiting, running := q.Load(); waiting != 0 || running != 0 {
		t.Fatalf("load after release: %d waiting, %d running, want 0 and 0", waiting, running)
	}
}
