package configlog

import (
	"context"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/infra/memlog"
)

// fault is what happens to one call of the log.
type fault int

const (
	works fault = iota
	lostAnswer
	lostRequest
	refusedCall
	storedTwice
)

// faultyLog draws a fault for every call.
type faultyLog struct {
	*memlog.Log
	draw func() fault
}

func (l *faultyLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	lost := failure.New(failure.LogUnavailable, failure.Unknown, "connection lost")
	switch l.draw() {
	case lostRequest:
		return 0, lost
	case refusedCall:
		return 0, failure.New(failure.LogUnavailable, failure.NotRun, "connection refused")
	case lostAnswer:
		_, _ = l.Log.Append(ctx, stream, data)
		return 0, lost
	case storedTwice:
		_, _ = l.Log.Append(ctx, stream, data)
	case works:
	}
	return l.Log.Append(ctx, stream, data)
}

func (l *faultyLog) Read(ctx context.Context, stream string, from uint64, limit int) (infra.Batch, error) {
	if f := l.draw(); f != works && f != storedTwice {
		return infra.Batch{}, failure.New(failure.LogUnavailable, failure.NotRun, "connection refused")
	}
	return l.Log.Read(ctx, stream, from, min(limit, 2))
}

// Guards against publishers that are told another verdict than the one in force, under lost requests, lost
// answers, refused calls, stored copies and races between two publishers.
func TestReportedVerdictIsInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := memlog.New()
		faulty := &faultyLog{Log: log, draw: func() fault {
			// Half of the calls work, so that most change sets are settled within the waits below.
			return max(works, fault(rapid.IntRange(-4, int(storedTwice)).Draw(t, "fault")))
		}}
		publishers := []*Publisher{}
		for range 2 {
			publishers = append(publishers, NewPublisher(faulty, testClock{}))
		}
		told := map[string]error{}
		for i := range rapid.IntRange(1, 12).Draw(t, "change sets") {
			p := publishers[rapid.IntRange(0, 1).Draw(t, "publisher")]
			if rapid.Bool().Draw(t, "sync") {
				_ = p.Sync(context.Background())
			}
			id := fmt.Sprint(i)
			cs := put(p, id, model(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"), id))
			_, told[id] = p.Submit(context.Background(), cs)
		}
		checkTold(t, log, told)
	})
}

func checkTold(t *rapid.T, log *memlog.Log, told map[string]error) {
	truth := NewPublisher(log, testClock{})
	if err := truth.Sync(context.Background()); err != nil {
		t.Fatal(err)
	}
	for id, err := range told {
		entry, recorded := truth.Fold().Verdict(id)
		switch {
		case err == nil:
			if !entry.GetAccepted() {
				t.Fatalf("%s was reported as accepted: %v", id, entry)
			}
		case failure.HasCode(err, failure.PublishConflict):
			if entry.GetReason() != ReasonConflict {
				t.Fatalf("%s was reported as a conflict: %v", id, entry)
			}
		case failure.From(err).Outcome == failure.NotRun:
			if recorded {
				t.Fatalf("%s was reported as not run: %v", id, entry)
			}
		case !failure.HasCode(err, failure.PublishUnknown):
			t.Fatal(err)
		}
	}
}
