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

// Guards against a second copy of a record after the response to its append was lost.
func TestWriterFindsItsRecordAfterALostAnswer(t *testing.T) {
	log := memlog.New()
	w := testWriter(log, "a")
	mustAppend(t, testWriter(log, "other"), changeSet("x"))
	log.LoseResponses(1)
	if offset := mustAppend(t, w, changeSet("y")); offset != 2 {
		t.Fatalf("offset of the append %d, want 2", offset)
	}
	if log.Appends() != 2 {
		t.Fatalf("%d records appended, want 2", log.Appends())
	}
}

// Guards against reporting a record that may be stored as certainly not stored, and against an append that can never
// be resolved.
func TestWriterReportsUnknownUntilResolved(t *testing.T) {
	log := memlog.New()
	disconnecting := &lostResponseLog{Log: log}
	w := NewWriter(disconnecting, testStream, "a", testNow, zeroLamport)
	disconnecting.disconnect = true
	_, err := w.Append(context.Background(), changeSet("x"))
	if !failure.HasCode(err, failure.LogUnavailable) || failure.From(err).Outcome != failure.Unknown {
		t.Fatalf("append with a lost response: %v, want LogUnavailable with outcome Unknown", err)
	}
	if _, err := w.Append(context.Background(), changeSet("y")); failure.From(err).Outcome != failure.NotRun {
		t.Fatalf("append while another is unresolved: %v, want outcome NotRun", err)
	}
	disconnecting.disconnect = false
	log.SetDown(false)
	offset, err := w.Resolve(context.Background())
	if err != nil || offset != 1 {
		t.Fatalf("Resolve returned offset %d, error %v; want 1", offset, err)
	}
}

// Guards against reporting a record as possibly stored when the log refused every attempt.
func TestWriterReportsNotRunWhenTheLogIsDown(t *testing.T) {
	log := memlog.New()
	w := testWriter(log, "a")
	mustAppend(t, w, changeSet("x"))
	log.SetDown(true)
	_, err := w.Append(context.Background(), changeSet("y"))
	if failure.From(err).Outcome != failure.NotRun || w.HasPending() {
		t.Fatalf("append to an unavailable log: %v, pending %v; want outcome NotRun and no pending append", err, w.HasPending())
	}
}

// Guards against returning the offset of a second copy, which followers drop.
func TestWriterReturnsTheFirstOfTwoCopies(t *testing.T) {
	log := memlog.New()
	delayed := &delayedLog{Log: log}
	w := NewWriter(delayed, testStream, "a", testNow, zeroLamport)
	offset, err := w.Append(context.Background(), changeSet("x"))
	if err != nil || offset != 1 || log.Appends() != 2 {
		t.Fatalf("offset %d, %d appends, error %v; want offset 1 and 2 appends", offset, log.Appends(), err)
	}
	fold := &listFold{}
	mustPoll(t, NewFollower(FollowerConfig{Stream: testStream, Fold: fold, Log: log}))
	if !slices.Equal(fold.changeSetIDs, []string{"x"}) || fold.offset != 2 {
		t.Fatalf("applied change sets %v at offset %d, want [x] at 2", fold.changeSetIDs, fold.offset)
	}
}

// lostResponseLog stores the first append after disconnect is set, loses its response and is unavailable from then
// on.
type lostResponseLog struct {
	*memlog.Log
	disconnect bool
}

func (c *lostResponseLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if !c.disconnect {
		return c.Log.Append(ctx, stream, data)
	}
	c.LoseResponses(1)
	offset, err := c.Log.Append(ctx, stream, data)
	c.SetDown(true)
	return offset, err
}

// delayedLog stores the first append only after the writer has searched for it.
type delayedLog struct {
	*memlog.Log
	held []byte
	done bool
}

func (l *delayedLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
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

var _ infra.Log = (*delayedLog)(nil)

// Guards against followers that drop an idle writer at different offsets because one of them restored a checkpoint.
func TestWriterSeqsAreTheSameAfterRestore(t *testing.T) {
	continuous, restored := newWriterSeqs(), newWriterSeqs()
	for offset := uint64(1); offset <= 3*seqGenerationRecords; offset++ {
		writer := "steady"
		if offset == seqGenerationRecords/2 {
			writer = "once"
		}
		continuous.recordSeq(writer, offset)
		restored.recordSeq(writer, offset)
		continuous.advance(offset)
		restored.advance(offset)
		if offset%(seqGenerationRecords/4) == 0 {
			restored = restoreWriterSeqs(restored.save())
		}
		_, a := continuous.save()[previousPrefix+"once"]
		if offset%(seqGenerationRecords/4) == 0 {
			_, b := restored.save()[previousPrefix+"once"]
			if a != b {
				t.Fatalf("offset %d: writer in the previous generation: %v, after restore: %v", offset, a, b)
			}
		}
	}
	if len(continuous.save()) > 2 {
		t.Fatalf("an idle writer is still kept: %v", continuous.save())
	}
}

func mustEncode(t *testing.T, e *ferrypb.Envelope) []byte {
	t.Helper()
	data, err := proto.Marshal(e)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
