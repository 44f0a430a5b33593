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

// replayTest is a log with followers that start, stop, fall behind and read from each other.
type replayTest struct {
	t         *rapid.T
	log       *memlog.Log
	followers []*Follower
	writers   []*Writer
	delayed   [][]byte
	// saved are checkpoints that have not been appended yet.
	saved []*ferrypb.Checkpoint
	// states holds, for each offset, the state of the first follower that reached it.
	states map[uint64]*ferrypb.Checkpoint
	// expirableBefore is the offset up to which records may expire without losing the last usable checkpoint.
	expirableBefore uint64
	appended        int
}

// faultyAppendLog loses the responses of some appends and delays others.
type faultyAppendLog struct {
	*memlog.Log
	test *replayTest
}

func (l faultyAppendLog) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	switch rapid.IntRange(0, 5).Draw(l.test.t, "append") {
	case 0:
		l.LoseResponses(1)
	case 1:
		l.test.delayed = append(l.test.delayed, slices.Clone(data))
		return 0, failure.New(failure.LogUnavailable, failure.Unknown, "append delayed")
	}
	return l.Log.Append(ctx, name, data)
}

func (w *replayTest) newFollower() *Follower {
	peers := memPeers{}
	for i, f := range w.followers {
		peers[fmt.Sprintf("h%d", i)] = f
	}
	return NewFollower(FollowerConfig{Stream: testStream, Fold: &listFold{}, Log: w.log, Peers: peers,
		Hosts: hosts(len(w.followers)), TailRecords: rapid.IntRange(1, 20).Draw(w.t, "keep"), Now: testNow})
}

func (w *replayTest) step() {
	i := rapid.IntRange(0, len(w.followers)-1).Draw(w.t, "follower")
	switch rapid.IntRange(0, 9).Draw(w.t, "step") {
	case 0, 1, 2:
		w.appended++
		writer := w.writers[i%len(w.writers)]
		_, _ = writer.Append(context.Background(), changeSet(fmt.Sprint(w.appended)))
	case 3, 4, 5:
		w.poll(w.followers[i])
	case 6:
		if len(w.delayed) > 0 {
			_, _ = w.log.Append(context.Background(), testStream, w.delayed[0])
			w.delayed = w.delayed[1:]
		}
	case 7:
		w.checkpoint(i)
	case 8:
		w.log.ExpireBefore(testStream, w.expirableBefore)
	case 9:
		w.log.SetDown(rapid.Bool().Draw(w.t, "down"))
		w.followers[i] = w.newFollower()
	}
}

// checkpoint either makes a checkpoint or appends an earlier one, as a paused process would.
func (w *replayTest) checkpoint(i int) {
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
		w.expirableBefore = max(w.expirableBefore, c.Covers+1)
	}
}

func (w *replayTest) poll(f *Follower) {
	before := f.Offset()
	_, _ = f.Poll(context.Background())
	after := f.Offset()
	if after < before {
		w.t.Fatalf("follower offset decreased from %d to %d", before, after)
	}
	state := f.Checkpoint()
	ids := slices.Sorted(slices.Values(f.cfg.Fold.(*listFold).changeSetIDs))
	if len(slices.Compact(slices.Clone(ids))) != len(ids) {
		w.t.Fatalf("a change set was applied twice: %v", ids)
	}
	known, ok := w.states[after]
	if !ok {
		w.states[after] = state
		return
	}
	if !proto.Equal(known, state) {
		w.t.Fatalf("different states at offset %d:\n%v\n%v", after, known, state)
	}
}

// Guards against followers that disagree at the same offset, move backwards or apply a record twice. The test
// combines duplicate and delayed appends, delayed checkpoints, expired records, log outages and starts from peers in
// random order.
func TestFollowersAgreeAtEveryOffset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &replayTest{t: t, log: memlog.New(), states: map[uint64]*ferrypb.Checkpoint{}}
		for i := range 2 {
			writer := NewWriter(faultyAppendLog{w.log, w}, testStream, fmt.Sprintf("w%d", i), testNow, zeroLamport)
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
				t.Fatalf("follower offset %d with log end reached %v, want offset %d and true", f.Offset(), f.ReachedLogEnd(), w.followers[0].Offset())
			}
		}
	})
}
