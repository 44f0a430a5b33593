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

// maxAppendAttempts is the maximum number of appends per change set. Every reader has to read each copy.
const maxAppendAttempts = 5

// readRetryInterval is the time between reads while the log is unavailable after an append without a response.
const readRetryInterval = 200 * time.Millisecond

// Publisher publishes change sets. It is not safe for concurrent use.
type Publisher struct {
	reader reader
	clock  clock.Clock
}

// NewPublisher returns a publisher that has read nothing yet.
func NewPublisher(log infra.Log, clk clock.Clock) *Publisher {
	return &Publisher{reader: reader{log: log, fold: NewFold()}, clock: clk}
}

// Sync reads to the end of the stream. Failures have code LogUnavailable or OffsetExpired.
func (p *Publisher) Sync(ctx context.Context) error {
	return p.reader.readToEnd(ctx)
}

// Fold returns the state as of the last read. Callers must not apply records to it.
func (p *Publisher) Fold() *Fold { return p.reader.fold }

// Submit appends a change set made with Prepare and returns its verdict.
//
// It fails with PublishConflict if an object was changed after the change set was prepared; the failure names the
// object and the returned entry has the winning offset. It fails with PublishInvalid if the resulting configuration
// is invalid, and with LogUnavailable if nothing was appended. PublishUnknown means that the log was unavailable too
// long to learn the verdict; submitting the same change set again is safe.
func (p *Publisher) Submit(ctx context.Context, cs *ferrypb.ChangeSet) (*ferrypb.HistoryEntry, error) {
	data, err := p.encode(cs)
	if err != nil {
		return nil, err
	}
	maybeAppended := false
	for range maxAppendAttempts {
		if entry, ok := p.reader.fold.Verdict(cs.GetId()); ok {
			return entry, verdictError(entry)
		}
		var offset uint64
		offset, err = p.reader.log.Append(ctx, Stream, data)
		if err != nil && failure.From(err).Outcome == failure.NotRun && !maybeAppended {
			return nil, failure.Wrap(failure.LogUnavailable, failure.NotRun, "change set was not appended", err)
		}
		maybeAppended = true
		if err := p.readPast(ctx, offset); err != nil {
			return nil, unknownVerdict(cs, err)
		}
	}
	if entry, ok := p.reader.fold.Verdict(cs.GetId()); ok {
		return entry, verdictError(entry)
	}
	return nil, unknownVerdict(cs, err)
}

// encode leaves the writer and its sequence number empty: the id of the change set identifies the record, and the
// fold ignores a second copy. A writer id per change set would stay in every checkpoint for weeks.
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

// readPast reads to the end of the stream, at least up to offset, and retries while the log is unavailable.
func (p *Publisher) readPast(ctx context.Context, offset uint64) error {
	for {
		err := p.reader.readToEnd(ctx)
		if err == nil && p.reader.fold.Offset() >= offset {
			return nil
		}
		if err != nil && !failure.HasCode(err, failure.LogUnavailable) {
			return err
		}
		select {
		case <-ctx.Done():
			return failure.Wrap(failure.LogUnavailable, failure.Unknown, "change set was not read back from the log", ctx.Err())
		case <-p.clock.After(readRetryInterval):
		}
	}
}

func unknownVerdict(cs *ferrypb.ChangeSet, cause error) error {
	message := fmt.Sprintf("verdict on change set %s is unknown; publish again to settle it", cs.GetId())
	return failure.Wrap(failure.PublishUnknown, failure.Unknown, message, cause)
}

func verdictError(e *ferrypb.HistoryEntry) error {
	switch e.GetReason() {
	case "":
		return nil
	case ReasonConflict:
		message := fmt.Sprintf("%s was changed at offset %d after this change was prepared", e.GetObject(), e.GetWinningOffset())
		return failure.Wrap(failure.PublishConflict, failure.NotRun, message, &RefusalError{Entry: e}).WithObject(e.GetObject())
	}
	message := "whole set was refused as " + e.GetReason()
	return failure.Wrap(failure.PublishInvalid, failure.NotRun, message, &RefusalError{Entry: e}).WithObject(e.GetObject())
}
