package stream

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra/memlog"
)

// replayWorld is a log with followers that start, stop, lag and read from each other.
type replayWorld struct {
	t         *rapid.T
	log       *memlog.Log
	followers []*Follower
	writers   []*Writer
	late      [][]byte
	// saved are checkpoints that were made and not yet appended.
	saved []*ferrypb.Checkpoint
	// states holds the state at each offset as the first follower reached it.
	states map[uint64]*ferrypb.Checkpoint
	// usable is the oldest offset that may expire without loss of the last usable checkpoint.
	usable uint64
	ids    int
}

// lateWriterLog loses some appends' answers and delays others.
type lateWriterLog struct {
	*memlog.Log
	w *replayWorld
}

func (l lateWriterLog) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	switch rapid.IntRange(0, 5).Draw(l.w.t, "append") {
	case 0:
		l.LoseAnswers(1)
	case 1:
		l.w.late = append(l.w.late, slices.Clone(data))
		return 0, failure.New(failure.LogUnavailable, failure.Unknown, "under way")
	}
	return l.Log.Append(ctx, name, data)
}

func (w *replayWorld) newFollower() *Follower {
	peers := memPeers{}
	for i, f := range w.followers {
		peers[fmt.Sprintf("h%d", i)] = f
	}
	return NewFollower(FollowerConfig{Stream: testStream, Fold: &listFold{}, Log: w.log, Peers: peers,
		Hosts: hosts(len(w.followers)), KeepRecords: rapid.IntRange(1, 20).Draw(w.t, "keep"), Now: testNow})
}

func (w *replayWorld) step() {
	i := rapid.IntRange(0, len(w.followers)-1).Draw(w.t, "follower")
	switch rapid.IntRange(0, 9).Draw(w.t, "step") {
	case 0, 1, 2:
		w.ids++
		writer := w.writers[i%len(w.writers)]
		_, _ = writer.Append(context.Background(), changeSet(fmt.Sprint(w.ids)))
	case 3, 4, 5:
		w.poll(w.followers[i])
	case 6:
		if len(w.late) > 0 {
			_, _ = w.log.Append(context.Background(), testStream, w.late[0])
			w.late = w.late[1:]
		}
	case 7:
		w.checkpoint(i)
	case 8:
		w.log.Expire(testStream, w.usable)
	case 9:
		w.log.SetDown(rapid.Bool().Draw(w.t, "down"))
		w.followers[i] = w.newFollower()
	}
}

// checkpoint makes one now and appends it at once or, from a paused process, later.
func (w *replayWorld) checkpoint(i int) {
	if rapid.Bool().Draw(w.t, "make") && w.followers[i].Offset() > 0 {
		w.saved = append(w.saved, w.followers[i].Checkpoint())
		return
	}
	if len(w.saved) == 0 {
		return
	}
	c := w.saved[0]
	w.saved = w.saved[1:]
	e := &ferrypb.Envelope{Format: Format, Payload: &ferrypb.Envelope_Checkpoint{Checkpoint: c}}
	data, err := proto.Marshal(e)
	if err != nil {
		w.t.Fatal(err)
	}
	if _, err := w.log.Append(context.Background(), testStream, data); err == nil {
		w.usable = max(w.usable, c.Covers+1)
	}
}

func (w *replayWorld) poll(f *Follower) {
	before := f.Offset()
	_, _ = f.Poll(context.Background())
	after := f.Offset()
	if after < before {
		w.t.Fatalf("offset fell from %d to %d", before, after)
	}
	state := f.Checkpoint()
	ids := slices.Sorted(slices.Values(f.cfg.Fold.(*listFold).ids))
	if len(slices.Compact(slices.Clone(ids))) != len(ids) {
		w.t.Fatalf("a record was applied twice: %v", ids)
	}
	known, ok := w.states[after]
	if !ok {
		w.states[after] = state
		return
	}
	if !proto.Equal(known, state) {
		w.t.Fatalf("two states at offset %d:\n%v\n%v", after, known, state)
	}
}

// Guards against followers that disagree at the same offset, step back or apply a record twice, with re-sent and late appends, late
// checkpoints, expired records, log outages and starts from peers in any order.
func TestFollowersAgreeAtEveryOffset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &replayWorld{t: t, log: memlog.New(), states: map[uint64]*ferrypb.Checkpoint{}}
		for i := range 2 {
			writer := NewWriter(lateWriterLog{w.log, w}, testStream, fmt.Sprintf("w%d", i), testNow, zeroLamport)
			writer.SetRetryDelay(0)
			w.writers = append(w.writers, writer)
		}
		for range 3 {
			w.followers = append(w.followers, NewFollower(FollowerConfig{Stream: testStream, Fold: &listFold{}, Log: w.log, Now: testNow}))
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			w.step()
		}
		w.log.SetDown(false)
		for _, f := range w.followers {
			w.poll(f)
		}
		for _, f := range w.followers {
			if f.Offset() != w.followers[0].Offset() || !f.ReachedLogEnd() {
				t.Fatalf("a follower stays at offset %d, another is at %d", f.Offset(), w.followers[0].Offset())
			}
		}
	})
}
