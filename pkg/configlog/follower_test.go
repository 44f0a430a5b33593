package configlog

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"trefoilferry.example/ferry/pkg/infra/memlog"
	"trefoilferry.example/ferry/pkg/stream"
)

// Guards against daemons and publishers that derive different states from the same records, including duplicate
// change sets.
func TestFollowerAndPublisherAgree(t *testing.T) {
	log := memlog.New()
	p := synced(t, log)
	first := prepare(p, "1", model("a", "1"))
	for _, cs := range []string{"2", "3"} {
		if _, err := p.Submit(t.Context(), first); err != nil {
			t.Fatal(err)
		}
		submit(t, p, cs, model("a", cs), model("b", cs))
		if _, err := NewPublisher(log, testClock{}).Submit(t.Context(), first); err != nil {
			t.Fatal(err)
		}
	}
	if err := p.Sync(t.Context()); err != nil {
		t.Fatal(err)
	}
	fold := NewFold()
	follower := stream.NewFollower(stream.FollowerConfig{Stream: Stream, Fold: fold, Log: log})
	if _, err := follower.Poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	if fold.Offset() != 5 || !proto.Equal(fold.Checkpoint(), p.Fold().Checkpoint()) {
		t.Fatalf("state of the follower at offset %d differs from the publisher's at %d, want equal states at 5", fold.Offset(), p.Fold().Offset())
	}
}
