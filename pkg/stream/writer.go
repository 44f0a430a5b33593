package stream

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
)

const (
	// appendAttempts is the number of attempts before Append returns an error.
	appendAttempts = 3
	// appendRetryDelay is the delay before the second attempt; it doubles for the third.
	appendRetryDelay = 20 * time.Millisecond
	// searchPageRecords is the number of records per read when a writer searches for its own record.
	searchPageRecords = 256
)

// Writer appends records to one stream, one at a time. It is safe for concurrent use.
//
// Followers drop every record whose sequence number is not above the highest applied one of its writer. A writer
// therefore does not start a new append while an earlier one is unresolved.
type Writer struct {
	log     infra.Log
	stream  string
	id      string
	now     func() time.Time
	lamport func() uint64
	// retryDelay is the delay before the second attempt.
	retryDelay time.Duration

	mu sync.Mutex
	// seq is the sequence number of the last append.
	seq uint64
	// searchFrom is the first offset at which the pending record can be; 0 while the end of the stream is unknown.
	searchFrom uint64
	pending    *pendingAppend
}

// pendingAppend is an append whose outcome is not yet known.
type pendingAppend struct {
	seq  uint64
	data []byte
	// maybeStored is true once an attempt may have stored the record.
	maybeStored bool
}

// NewWriter returns a writer. The writer id must be unique per process incarnation and stream.
func NewWriter(log infra.Log, stream, writerID string, now func() time.Time, lamport func() uint64) *Writer {
	return &Writer{log: log, stream: stream, id: writerID, now: now, lamport: lamport, retryDelay: appendRetryDelay}
}

// SetRetryDelay sets the delay before the second attempt. It must be called before the first append.
func (w *Writer) SetRetryDelay(d time.Duration) { w.retryDelay = d }

// ID returns the writer id.
func (w *Writer) ID() string { return w.id }

// Append fills in the envelope's format, writer, writer_seq, lamport and unix_millis, stores the envelope and returns
// the offset of its first copy.
//
// It fails with code LogUnavailable; the outcome is NotRun if the record is certainly not stored and Unknown if it
// may be. After Unknown the append stays pending until Resolve or AbandonPending is called. An Append before that
// first resolves the pending one and fails with NotRun if that is not possible.
func (w *Writer) Append(ctx context.Context, e *ferrypb.Envelope) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending != nil {
		if _, err := w.resolve(ctx); err != nil {
			return 0, failure.Wrap(failure.LogUnavailable, failure.NotRun, "an earlier append is unresolved", err)
		}
	}
	if err := w.findEnd(ctx); err != nil {
		return 0, failure.Wrap(failure.LogUnavailable, failure.NotRun, "cannot read the end of the stream", err)
	}
	data, err := w.encode(e)
	if err != nil {
		return 0, err
	}
	w.pending = &pendingAppend{seq: w.seq, data: data}
	return w.resolve(ctx)
}

// Resolve determines the outcome of the pending append: it searches for the record, appends it again if it is not
// stored, and returns its offset. Without a pending append it returns 0 and no error. It fails like Append.
func (w *Writer) Resolve(ctx context.Context) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending == nil {
		return 0, nil
	}
	return w.resolve(ctx)
}

// HasPending reports whether an append is unresolved.
func (w *Writer) HasPending() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pending != nil
}

// AbandonPending drops the pending append without another attempt. Its record may still appear in the stream until a
// later record of this writer is stored.
func (w *Writer) AbandonPending() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = nil
}

// ObserveEnd sets the known end of the stream, the offset after the newest known record, which shortens later
// searches.
func (w *Writer) ObserveEnd(next uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending == nil && next > w.searchFrom {
		w.searchFrom = next
	}
}

func (w *Writer) encode(e *ferrypb.Envelope) ([]byte, error) {
	w.seq++
	e.Format = Format
	e.Writer = w.id
	e.WriterSeq = w.seq
	e.Lamport = w.lamport()
	e.UnixMillis = w.now().UnixMilli()
	data, err := proto.Marshal(e)
	if err != nil {
		return nil, failure.Wrap(failure.RecordInvalid, failure.NotRun, "record cannot be encoded", err)
	}
	return data, nil
}

// findEnd reads the end of the stream once, so that later searches do not start at the oldest record.
func (w *Writer) findEnd(ctx context.Context) error {
	if w.searchFrom > 0 {
		return nil
	}
	batch, err := w.log.Read(ctx, w.stream, 1, 1)
	if err != nil && !failure.HasCode(err, failure.OffsetExpired) {
		return err
	}
	w.searchFrom = max(batch.NextOffset, 1)
	return nil
}

func (w *Writer) resolve(ctx context.Context) (uint64, error) {
	var last error
	for attempt := range appendAttempts {
		if attempt > 0 && !sleep(ctx, w.retryDelay<<(attempt-1)) {
			break
		}
		offset, done, err := w.attempt(ctx)
		if done {
			return offset, err
		}
		last = err
	}
	if w.pending.maybeStored {
		return 0, failure.Wrap(failure.LogUnavailable, failure.Unknown, "append is unresolved; the record may be stored", last)
	}
	w.pending = nil
	return 0, failure.Wrap(failure.LogUnavailable, failure.NotRun, "append failed", last)
}

// attempt searches for the record if it may be stored, and appends it if it is not found. It returns true when the
// outcome is known.
func (w *Writer) attempt(ctx context.Context) (uint64, bool, error) {
	if w.pending.maybeStored {
		offset, err := w.search(ctx)
		if err != nil {
			return 0, false, err
		}
		if offset > 0 {
			return w.complete(offset), true, nil
		}
	}
	retransmission := w.pending.maybeStored
	offset, err := w.log.Append(ctx, w.stream, w.pending.data)
	if err != nil {
		return w.sendFailed(err)
	}
	w.pending.maybeStored = true
	if !retransmission {
		return w.complete(offset), true, nil
	}
	return w.firstCopy(ctx)
}

func (w *Writer) sendFailed(err error) (uint64, bool, error) {
	f := failure.From(err)
	if f.Outcome != failure.NotRun {
		w.pending.maybeStored = true
		return 0, false, err
	}
	if f.Code != failure.LogUnavailable && !w.pending.maybeStored {
		w.pending = nil
		return 0, true, err
	}
	return 0, false, err
}

// firstCopy finds the first copy of a record that was appended twice: an earlier attempt may have been stored after
// the search and before the second append.
func (w *Writer) firstCopy(ctx context.Context) (uint64, bool, error) {
	offset, err := w.search(ctx)
	if err != nil || offset == 0 {
		return 0, false, err
	}
	return w.complete(offset), true, nil
}

func (w *Writer) complete(offset uint64) uint64 {
	w.pending = nil
	w.searchFrom = max(w.searchFrom, offset+1)
	return offset
}

// search returns the offset of the first copy of the pending record; 0 if it is not stored.
func (w *Writer) search(ctx context.Context) (uint64, error) {
	from := w.searchFrom
	for {
		batch, err := w.log.Read(ctx, w.stream, from, searchPageRecords)
		if failure.HasCode(err, failure.OffsetExpired) && batch.OldestOffset > from {
			from = batch.OldestOffset
			continue
		}
		if err != nil {
			return 0, err
		}
		for _, r := range batch.Records {
			if w.isPendingRecord(r.Data) {
				return r.Offset, nil
			}
			from = r.Offset + 1
		}
		if len(batch.Records) == 0 || from >= batch.NextOffset {
			return 0, nil
		}
	}
}

func (w *Writer) isPendingRecord(data []byte) bool {
	var e ferrypb.Envelope
	if proto.Unmarshal(data, &e) != nil {
		return false
	}
	return e.Writer == w.id && e.WriterSeq == w.pending.seq
}

// sleep returns false if ctx is done before d has elapsed.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
