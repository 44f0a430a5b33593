package gateway

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

// Load pattern: runners crash again and again and return under the ids that they had. Guards against a returned runner
// that is avoided for up to half a minute, longer with each crash, for what its predecessors did, and against prompts that
// are sent to it for a cache that ended with them.
func TestReturnedServerStartsWithoutRecords(t *testing.T) {
	tracker, now := NewTracker(), time.Now()
	chain := []prefixLink{{hash: 1, tokens: 100}}
	server := func(born int64) map[string]fleet.Server {
		return map[string]fleet.Server{"r": {ID: "r", StartMillis: born}}
	}
	for born := int64(1); born <= 6; born++ {
		tracker.Retain(server(born))
		if until := tracker.Suspects()["r"]; now.Before(until) {
			t.Fatalf("incarnation %d is avoided for %v when it returns, want not at all", born, until.Sub(now))
		}
		if n := tracker.CachedTokens("r", chain); n > 0 {
			t.Fatalf("incarnation %d is expected to have cached %d tokens, want none", born, n)
		}
		tracker.RecordPrompt("r", chain, 1000)
		tracker.RecordFailure("r", now)
		tracker.Retain(server(born))
		if !now.Before(tracker.Suspects()["r"]) {
			t.Fatalf("incarnation %d is not avoided after it failed", born)
		}
		now = now.Add(100 * time.Millisecond)
	}
	tracker.Retain(nil)
	if len(tracker.started) > 0 || len(tracker.caches) > 0 {
		t.Errorf("records of a server that is gone: %v, %v, want none", tracker.started, tracker.caches)
	}
}
