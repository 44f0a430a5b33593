package configlog

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"trefoilferry.example/ferry/pkg/infra/memlog"
	"trefoilferry.example/ferry/pkg/stream"
)

// Guards against daemons and publishers that disagree on the same records, copies of change sets included.
func TestFollowerAndPublisherAgree(t *testing.T) {
	log := memlog.New()
	p := synced(t, log)
	first := put(p, "1", model("a", "1"))
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
		t.Fatalf("states differ at %d and %d", fold.Offset(), p.Fold().Offset())
	}
}
