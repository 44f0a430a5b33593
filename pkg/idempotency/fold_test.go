package idempotency

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/stream"
)

var _ stream.Fold = (*Fold)(nil)

func keys(millis int64, records ...*ferrypb.KeyRecord) *ferrypb.Envelope {
	return &ferrypb.Envelope{UnixMillis: millis, Payload: &ferrypb.Envelope_Keys{Keys: &ferrypb.KeyBatch{Records: records}}}
}

func claimOf(key, id string) *ferrypb.KeyRecord {
	return &ferrypb.KeyRecord{Record: &ferrypb.KeyRecord_Claim{Claim: &ferrypb.KeyClaim{Key: key, ClaimId: id}}}
}

func doneOf(key, id string, status uint32) *ferrypb.KeyRecord {
	return &ferrypb.KeyRecord{Record: &ferrypb.KeyRecord_Done{Done: &ferrypb.KeyDone{Key: key, ClaimId: id, Status: status}}}
}

func abandonOf(key, id string) *ferrypb.KeyRecord {
	return &ferrypb.KeyRecord{Record: &ferrypb.KeyRecord_Abandon{Abandon: &ferrypb.KeyAbandon{Key: key, ClaimId: id}}}
}

const day = int64(24 * time.Hour / time.Millisecond)

// Guards against a wrong winner or result after a later claim, a result or abandon of a claim that lost, an abandon after
// the result, and keys that expire too early or never.
func TestFoldFirstClaimWins(t *testing.T) {
	type step struct {
		millis int64
		record *ferrypb.KeyRecord
	}
	tests := []struct {
		name   string
		steps  []step
		winner string
		status uint32
	}{
		{"first wins", []step{{1, claimOf("k", "a")}, {2, claimOf("k", "b")}}, "a", 0},
		{"losing claim abandons", []step{{1, claimOf("k", "a")}, {2, abandonOf("k", "b")}, {3, claimOf("k", "b")}}, "a", 0},
		{"winning claim abandons", []step{{1, claimOf("k", "a")}, {2, abandonOf("k", "a")}, {3, claimOf("k", "b")}}, "b", 0},
		{"abandoned after the result", []step{{1, claimOf("k", "a")}, {2, doneOf("k", "a", 200)}, {3, abandonOf("k", "a")}}, "a", 200},
		{"result of a loser", []step{{1, claimOf("k", "a")}, {2, claimOf("k", "b")}, {3, doneOf("k", "b", 500)}}, "a", 0},
		{"second result", []step{{1, claimOf("k", "a")}, {2, doneOf("k", "a", 200)}, {3, doneOf("k", "a", 500)}}, "a", 200},
		{"within retention", []step{{1, claimOf("k", "a")}, {1 + day, claimOf("k", "b")}}, "a", 0},
		{"after retention", []step{{1, claimOf("k", "a")}, {2 + day, claimOf("k", "b")}}, "b", 0},
	}
	for _, tt := range tests {
		f := NewFold(DefaultKeyRetention)
		for i, s := range tt.steps {
			f.Apply(uint64(i+1), keys(s.millis, s.record))
		}
		e, _ := f.Lookup("k", tt.steps[len(tt.steps)-1].millis)
		if e.Claim.GetClaimId() != tt.winner || e.Done.GetStatus() != tt.status {
			t.Errorf("%s: winner %q with status %d, want %q with %d", tt.name, e.Claim.GetClaimId(), e.Done.GetStatus(), tt.winner, tt.status)
		}
		g := NewFold(DefaultKeyRetention)
		if err := g.Restore(f.Checkpoint()); err != nil || !proto.Equal(f.Checkpoint(), g.Checkpoint()) {
			t.Errorf("%s: state differs after a restore: %v", tt.name, err)
		}
	}
}

// Guards against keys that stay in memory after they have expired.
func TestFoldRemovesExpiredKeys(t *testing.T) {
	f := NewFold(DefaultKeyRetention)
	for i := range 4 * pruneInterval {
		millis := int64(i) * day / 100
		f.Apply(uint64(i+1), keys(millis, claimOf(fmt.Sprint(i), "a")))
	}
	if f.Len() > pruneInterval+110 {
		t.Fatalf("keys in memory, about 100 of them within the retention: %d, want at most %d", f.Len(), pruneInterval+110)
	}
}
