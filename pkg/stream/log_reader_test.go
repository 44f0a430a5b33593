package stream

import (
	"context"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/infra/memlog"
)

// blockedLog responds to no read until release is closed.
type blockedLog struct {
	infra.Log
	release chan struct{}
}

func (l *blockedLog) Read(ctx context.Context, stream string, from uint64, limit int) (infra.Batch, error) {
	select {
	case <-l.release:
		return l.Log.Read(ctx, stream, from, limit)
	case <-ctx.Done():
		return infra.Batch{}, ctx.Err()
	}
}

// Guards against a follower that waits for an unresponsive log instead of reading its peers, and against one that
// abandons every read of a log that responds more slowly than LogFallbackAfter.
func TestFollowerAsksPeersWhileTheLogIsSilent(t *testing.T) {
	log := memlog.New()
	appendChangeSets(t, log, 1, 3)
	peer := NewFollower(FollowerConfig{Stream: testStream, Fold: &listFold{}, Log: log})
	mustPoll(t, peer)
	blocked := &blockedLog{Log: log, release: make(chan struct{})}
	f := NewFollower(FollowerConfig{
		Stream: testStream, Fold: &listFold{}, Log: blocked, LogFallbackAfter: 10 * time.Millisecond,
		Peers: memPeers{"h0": peer}, Hosts: hosts(1), Self: "me", ConfigOffset: func() uint64 { return 0 },
		Lamport: func() uint64 { return 0 },
	})
	mustPoll(t, f)
	if f.Offset() != 3 {
		t.Fatalf("offset %d with an unresponsive log, want 3 from the peer", f.Offset())
	}
	if f.ReachedLogEnd() {
		t.Error("ReachedLogEnd is true after reading only a peer")
	}
	appendChangeSets(t, log, 4, 5)
	close(blocked.release)
	deadline := time.Now().Add(5 * time.Second)
	for f.Offset() < 5 && time.Now().Before(deadline) {
		mustPoll(t, f)
	}
	if f.Offset() != 5 || !f.ReachedLogEnd() {
		t.Errorf("offset %d and log end reached %v after the log responded, want 5 and true", f.Offset(), f.ReachedLogEnd())
	}
}
