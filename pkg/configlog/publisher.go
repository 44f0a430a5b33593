package configlog

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
)

// maxAppends bounds the appends of one change set. Each copy costs every reader one record.
const maxAppends = 5

// searchInterval is the time between reads while the log is out after a lost answer.
const searchInterval = 200 * time.Millisecond

// Publisher publishes change sets. It is not safe for concurrent use.
type Publisher struct {
	reader reader
	clock  clock.Clock
}

// NewPublisher returns a publisher that knows nothing of the stream yet.
func NewPublisher(log infra.Log, clk clock.Clock) *Publisher {
	return &Publisher{reader: reader{log: log, fold: NewFold()}, clock: clk}
}

// Sync reads to the end of the stream. Failures have code LogUnavailable or OffsetExpired.
func (p *Publisher) Sync(ctx context.Context) error {
	return p.reader.toEnd(ctx)
}

// Fold returns the state as of the last read. It must not be applied to.
func (p *Publisher) Fold() *Fold { return p.reader.fold }

// Submit appends a prepared change set and returns its verdict.
//
// Failures: PublishConflict names the object, and the entry holds the winning offset; PublishInvalid means
// that the whole set is invalid; LogUnavailable means that nothing was appended; PublishUnknown means that
// the log was out too long to learn the verdict, and submitting the same change set again is safe.
func (p *Publisher) Submit(ctx context.Context, cs *ferrypb.ChangeSet) (*ferrypb.HistoryEntry, error) {
	data, err := p.encode(cs)
	if err != nil {
		return nil, err
	}
	inDoubt := false
	for range maxAppends {
		if entry, ok := p.reader.fold.Verdict(cs.GetId()); ok {
			return entry, verdictError(entry)
		}
		var offset uint64
		offset, err = p.reader.log.Append(ctx, Stream, data)
		if err != nil && failure.From(err).Outcome == failure.NotRun && !inDoubt {
			return nil, failure.Wrap(failure.LogUnavailable, failure.NotRun, "change set was not appended", err)
		}
		inDoubt = true
		if err := p.search(ctx, offset); err != nil {
			return nil, unresolved(cs, err)
		}
	}
	if entry, ok := p.reader.fold.Verdict(cs.GetId()); ok {
		return entry, verdictError(entry)
	}
	return nil, unresolved(cs, err)
}

// encode leaves the writer and its sequence number empty. The id of the change set identifies the record, and
// the fold ignores a second copy. A writer name for each change set would stay in every checkpoint for weeks.
func (p *Publisher) encode(cs *ferrypb.ChangeSet) ([]byte, error) {
	data, err := proto.Marshal(&ferrypb.Envelope{
		Format:     Format,
		Lamport:    p.reader.lamport + 1,
		UnixMillis: p.clock.Now().UnixMilli(),
		Payload:    &ferrypb.Envelope_ChangeSet{ChangeSet: cs},
	})
	if err != nil {
		return nil, failure.Wrap(failure.ObjectInvalid, failure.NotRun, "change set cannot be encoded", err)
	}
	return data, nil
}

// search reads to the end of the stream and at least up to offset. It waits for the log if it is out.
func (p *Publisher) search(ctx context.Context, offset uint64) error {
	for {
		err := p.reader.toEnd(ctx)
		if err == nil && p.reader.fold.Offset() >= offset {
			return nil
		}
		if err != nil && !failure.HasCode(err, failure.LogUnavailable) {
			return err
		}
		select {
		case <-ctx.Done():
			return failure.Wrap(failure.LogUnavailable, failure.Unknown, "own record was not read in time", ctx.Err())
		case <-p.clock.After(searchInterval):
		}
	}
}

func unresolved(cs *ferrypb.ChangeSet, cause error) error {
	message := fmt.Sprintf("verdict on change set %s is unknown; publish again to settle it", cs.GetId())
	return failure.Wrap(failure.PublishUnknown, failure.Unknown, message, cause)
}

func verdictError(e *ferrypb.HistoryEntry) error {
	switch e.GetReason() {
	case "":
		return nil
	case ReasonConflict:
		message := fmt.Sprintf("%s was changed at offset %d after this change was prepared", e.GetObject(), e.GetWinningOffset())
		return failure.Wrap(failure.PublishConflict, failure.NotRun, message, &Refusal{Entry: e}).WithObject(e.GetObject())
	}
	message := "whole set was refused as " + e.GetReason()
	return failure.Wrap(failure.PublishInvalid, failure.NotRun, message, &Refusal{Entry: e}).WithObject(e.GetObject())
}
