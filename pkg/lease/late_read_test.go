package lease

import (
	"context"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
)

// slowStore is a store whose reads take some time and return what is stored at their end.
type slowStore struct {
	*memoryStore
	clock *time.Duration
	takes time.Duration
}

func (s slowStore) Load(ctx context.Context) (Record, int64, error) {
	*s.clock += s.takes
	return s.memoryStore.Load(ctx)
}

// Guards against orders of two daemons within the minimum distance, with runners that do not check fencing tokens: the
// holder renews its lease while another daemon's read is on its way, and the record counts as old as the read.
func TestRecordIsNoOlderThanTheResponseThatShowsIt(t *testing.T) {
	const takes = 800 * time.Millisecond
	timing, clock := NewTiming(3*second), 10*second
	store := slowStore{newMemoryStore(), &clock, takes}
	store.rec, store.position = Record{Holder: "a", Address: "a:1", Token: 1}, 2
	b := NewElector(store, eventlog.Discard(), "b", "b:1", 0, timing, noState{})
	b.now = func() time.Duration { return clock }
	b.step(t.Context())
	// The holder sent its renewal right before the store read the record.
	validUntil := clock + timing.Validity
	clock = validUntil + timing.HolderGap - 500*time.Millisecond
	for range 3 {
		b.step(t.Context())
	}
	if !b.Held() {
		t.Fatal("the daemon does not hold the lease of a silent holder")
	}
	if _, ok := b.Token(); ok {
		t.Errorf("orders %v after the last one of the previous holder, want at least %v", clock-validUntil, timing.HolderGap)
	}
}
