package stream

import (
	"context"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/infra/memlog"
)

// heldLog answers no read until it is released.
type heldLog struct {
	infra.Log
	release chan struct{}
}

func (l *heldLog) Read(ctx context.Context, stream string, from uint64, limit int) (infra.Batch, error) {
	select {
	case <-l.release:
		return l.Log.Read(ctx, stream, from, limit)
	case <-ctx.Done():
		return infra.Batch{}, ctx.Err()
	}
}

// Guards against a follower that waits for a silent log instead of its peers, and against one that gives up every read of
// a log that is slower than its patience.
func TestFollowerAsksPeersWhileTheLogIsSilent(t *testing.T) {
	log := memlog.New()
	fill(t, log, 1, 3)
	peer := NewFollower(FollowerConfig{Stream: testStream, Fold: &listFold{}, Log: log})
	mustPoll(t, peer)
	held := &heldLog{Log: log, release: make(chan struct{})}
	f := NewFollower(FollowerConfig{
		Stream: testStream, Fold: &listFold{}, Log: held, LogPatience: 10 * time.Millisecond,
		Peers: memPeers{"h0": peer}, Hosts: hosts(1), Self: "me", ConfigOffset: func() uint64 { return 0 },
		Lamport: func() uint64 { return 0 },
	})
	mustPoll(t, f)
	if f.Offset() != 3 {
		t.Fatalf("offset %d with a silent log, want 3 from the peer", f.Offset())
	}
	if f.ReachedLogEnd() {
		t.Error("the follower takes a peer's end for the log's")
	}
	fill(t, log, 4, 5)
	close(held.release)
	deadline := time.Now().Add(5 * time.Second)
	for f.Offset() < 5 && time.Now().Before(deadline) {
		mustPoll(t, f)
	}
	if f.Offset() != 5 || !f.ReachedLogEnd() {
		t.Errorf("offset %d after the log answered, want 5", f.Offset())
	}
}
