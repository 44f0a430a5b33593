package lease

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
)

// Guards against a lease that is renewed or taken late because a call that the store has served, with content that cannot be
// used, counts as one more failure of an outage.
func TestServedCallDoesNotLengthenTheBackoff(t *testing.T) {
	now := time.Duration(0)
	e := NewElector(newMemoryStore(), eventlog.Discard(), "a", "a:1", 0, NewFencedTiming(), noState{})
	e.now = func() time.Duration { return now }
	away := failure.New(failure.LogUnavailable, failure.NotRun, "away")
	for range 5 {
		e.recordStoreCall(away)
	}
	if e.retryAt != maxBackoff {
		t.Fatalf("delay after 5 failures: %v, want %v", e.retryAt, maxBackoff)
	}
	for name, served := range map[string]error{
		"content that cannot be used": failure.New(failure.RecordInvalid, failure.Ran, "not decoded"),
		"another writer was first":    failure.New(failure.PublishConflict, failure.NotRun, "conflict"),
		"restored, outcome unknown":   failure.New(failure.PublishConflict, failure.Unknown, "restored"),
	} {
		e.failures = 5
		if e.recordStoreCall(served); e.failures != 0 || e.retryAt > initialBackoff {
			t.Errorf("%s: %d failures, next call in %v, want none and at most %v", name, e.failures, e.retryAt, initialBackoff)
		}
	}
}
