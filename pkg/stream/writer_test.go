package stream

import (
	"context"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/infra/memlog"
)

// Guards against a second copy of a record whose answer was lost.
func TestWriterFindsItsRecordAfterALostAnswer(t *testing.T) {
	log := memlog.New()
	w := testWriter(log, "a")
	mustAppend(t, testWriter(log, "other"), changeSet("x"))
	log.LoseAnswers(1)
	if offset := mustAppend(t, w, changeSet("y")); offset != 2 {
		t.Fatalf("offset %d, want 2", offset)
	}
	if log.Appends() != 2 {
		t.Fatalf("%d appends, want 2", log.Appends())
	}
}

// Guards against reporting a stored record as certainly not stored, and against losing an intent for good.
func TestWriterReportsUnknownUntilResolved(t *testing.T) {
	log := memlog.New()
	cut := &cutLog{Log: log}
	w := NewWriter(cut, testStream, "a", testNow, zeroLamport)
	cut.cut = true
	_, err := w.Append(context.Background(), changeSet("x"))
	if !failure.HasCode(err, failure.LogUnavailable) || failure.From(err).Outcome != failure.Unknown {
		t.Fatalf("got %v", err)
	}
	if _, err := w.Append(context.Background(), changeSet("y")); failure.From(err).Outcome != failure.NotRun {
		t.Fatalf("a second intent was sent before the first was settled: %v", err)
	}
	cut.cut = false
	log.SetDown(false)
	offset, err := w.Resolve(context.Background())
	if err != nil || offset != 1 {
		t.Fatalf("offset %d, error %v", offset, err)
	}
}

// Guards against claiming that a record may be stored when the log refused every send.
func TestWriterReportsNotRunWhenTheLogIsDown(t *testing.T) {
	log := memlog.New()
	w := testWriter(log, "a")
	mustAppend(t, w, changeSet("x"))
	log.SetDown(true)
	_, err := w.Append(context.Background(), changeSet("y"))
	if failure.From(err).Outcome != failure.NotRun || w.Pending() {
		t.Fatalf("got %v, pending %v", err, w.Pending())
	}
}

// Guards against returning the offset of a second copy, which the folds drop.
func TestWriterReturnsTheFirstOfTwoCopies(t *testing.T) {
	log := memlog.New()
	late := &lateLog{Log: log}
	w := NewWriter(late, testStream, "a", testNow, zeroLamport)
	offset, err := w.Append(context.Background(), changeSet("x"))
	if err != nil || offset != 1 || log.Appends() != 2 {
		t.Fatalf("offset %d, appends %d, error %v", offset, log.Appends(), err)
	}
	fold := &listFold{}
	mustPoll(t, NewFollower(FollowerConfig{Stream: testStream, Fold: fold, Log: log}))
	if !slices.Equal(fold.ids, []string{"x"}) || fold.offset != 2 {
		t.Fatalf("ids %v at offset %d", fold.ids, fold.offset)
	}
}

// cutLog stores the first append after a cut and then stays unreachable.
type cutLog struct {
	*memlog.Log
	cut bool
}

func (c *cutLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if !c.cut {
		return c.Log.Append(ctx, stream, data)
	}
	c.LoseAnswers(1)
	offset, err := c.Log.Append(ctx, stream, data)
	c.SetDown(true)
	return offset, err
}

// lateLog delays the first append until after the writer's search.
type lateLog struct {
	*memlog.Log
	held []byte
	done bool
}

func (l *lateLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if l.held == nil {
		l.held = slices.Clone(data)
		return 0, failure.New(failure.LogUnavailable, failure.Unknown, "no answer")
	}
	if !l.done {
		l.done = true
		if _, err := l.Log.Append(ctx, stream, l.held); err != nil {
			return 0, err
		}
	}
	return l.Log.Append(ctx, stream, data)
}

var _ infra.Log = (*lateLog)(nil)

// Guards against two followers that disagree on when a silent writer is forgotten, with a checkpoint in between.
func TestWriterSeqsAreTheSameAfterRestore(t *testing.T) {
	whole, restored := newWriterSeqs(), newWriterSeqs()
	for offset := uint64(1); offset <= 3*seqGeneration; offset++ {
		writer := "steady"
		if offset == seqGeneration/2 {
			writer = "once"
		}
		whole.duplicate(writer, offset)
		restored.duplicate(writer, offset)
		whole.advance(offset)
		restored.advance(offset)
		if offset%(seqGeneration/4) == 0 {
			restored = restoreWriterSeqs(restored.save())
		}
		_, a := whole.save()[previousPrefix+"once"]
		if offset%(seqGeneration/4) == 0 {
			_, b := restored.save()[previousPrefix+"once"]
			if a != b {
				t.Fatalf("offset %d: %v and %v", offset, a, b)
			}
		}
	}
	if len(whole.save()) > 2 {
		t.Fatalf("a silent writer is still kept: %v", whole.save())
	}
}

func encoded(t *testing.T, e *ferrypb.Envelope) []byte {
	t.Helper()
	data, err := proto.Marshal(e)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
