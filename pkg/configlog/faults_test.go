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

// fault is what happens to one call to the log.
type fault int

const (
	noFault fault = iota
	lostAnswer
	lostRequest
	callRefused
	appendedTwice
)

// faultyLog applies a randomly drawn fault to every call.
type faultyLog struct {
	*memlog.Log
	draw func() fault
}

func (l *faultyLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	lost := failure.New(failure.LogUnavailable, failure.Unknown, "connection lost")
	switch l.draw() {
	case lostRequest:
		return 0, lost
	case callRefused:
		return 0, failure.New(failure.LogUnavailable, failure.NotRun, "connection refused")
	case lostAnswer:
		_, _ = l.Log.Append(ctx, stream, data)
		return 0, lost
	case appendedTwice:
		_, _ = l.Log.Append(ctx, stream, data)
	case noFault:
	}
	return l.Log.Append(ctx, stream, data)
}

func (l *faultyLog) Read(ctx context.Context, stream string, from uint64, limit int) (infra.Batch, error) {
	if f := l.draw(); f != noFault && f != appendedTwice {
		return infra.Batch{}, failure.New(failure.LogUnavailable, failure.NotRun, "connection refused")
	}
	return l.Log.Read(ctx, stream, from, min(limit, 2))
}

// Guards against publishers that report another verdict than the recorded one after lost requests, lost responses,
// refused calls, duplicate records and races between two publishers.
func TestReportedVerdictIsInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := memlog.New()
		faulty := &faultyLog{Log: log, draw: func() fault {
			// Half of the calls succeed, so that most change sets get a verdict within the few attempts of Submit.
			return max(noFault, fault(rapid.IntRange(-4, int(appendedTwice)).Draw(t, "fault")))
		}}
		publishers := []*Publisher{}
		for range 2 {
			publishers = append(publishers, NewPublisher(faulty, testClock{}))
		}
		reported := map[string]error{}
		for i := range rapid.IntRange(1, 12).Draw(t, "change sets") {
			p := publishers[rapid.IntRange(0, 1).Draw(t, "publisher")]
			if rapid.Bool().Draw(t, "sync") {
				_ = p.Sync(context.Background())
			}
			id := fmt.Sprint(i)
			cs := prepare(p, id, model(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"), id))
			_, reported[id] = p.Submit(context.Background(), cs)
		}
		checkReported(t, log, reported)
	})
}

func checkReported(t *rapid.T, log *memlog.Log, reported map[string]error) {
	reference := NewPublisher(log, testClock{})
	if err := reference.Sync(context.Background()); err != nil {
		t.Fatal(err)
	}
	for id, err := range reported {
		entry, recorded := reference.Fold().Verdict(id)
		switch {
		case err == nil:
			if !entry.GetAccepted() {
				t.Fatalf("change set %s was reported as accepted, recorded verdict: %v", id, entry)
			}
		case failure.HasCode(err, failure.PublishConflict):
			if entry.GetReason() != ReasonConflict {
				t.Fatalf("change set %s was reported as a conflict, recorded verdict: %v", id, entry)
			}
		case failure.From(err).Outcome == failure.NotRun:
			if recorded {
				t.Fatalf("change set %s was reported as not run, recorded verdict: %v", id, entry)
			}
		case !failure.HasCode(err, failure.PublishUnknown):
			t.Fatalf("change set %s: %v, want code PublishUnknown", id, err)
		}
	}
}
