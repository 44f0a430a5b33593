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
	// appendTries bounds the sends of one append before the caller is told.
	appendTries = 3
	// appendDelay is the pause before the second try; it doubles for the third.
	appendDelay = 20 * time.Millisecond
	// searchPage is the number of records read at once when a writer looks for its own record.
	searchPage = 256
)

// Writer appends records to one stream, one at a time. It is safe for concurrent use.
//
// Followers drop every record whose sequence number is not above the highest applied one of the
// writer. The writer therefore sends no new intent while an earlier one is unresolved.
type Writer struct {
	log     infra.Log
	stream  string
	id      string
	now     func() time.Time
	lamport func() uint64
	// delay is the pause before the second try.
	delay time.Duration

	mu sync.Mutex
	// seq is the sequence number of the last intent.
	seq uint64
	// from is the first offset at which the pending intent can be; 0 while the end is unknown.
	from    uint64
	pending *intent
}

// intent is an append whose result is not known.
type intent struct {
	seq  uint64
	data []byte
	// sent is true once a send may have taken effect.
	sent bool
}

// NewWriter returns a writer. The writer id must be unique per process incarnation and stream.
func NewWriter(log infra.Log, stream, writerID string, now func() time.Time, lamport func() uint64) *Writer {
	return &Writer{log: log, stream: stream, id: writerID, now: now, lamport: lamport, delay: appendDelay}
}

// SetRetryDelay changes the pause before the second try; it is called before the first append.
func (w *Writer) SetRetryDelay(d time.Duration) { w.delay = d }

// ID returns the writer id.
func (w *Writer) ID() string { return w.id }

// Append fills the envelope's format, writer, writer_seq, lamport and unix_millis, stores it and
// returns the offset of its first copy.
//
// It fails with code LogUnavailable: outcome NotRun when the record is certainly not stored, Unknown when
// it may be. After Unknown the intent stays pending until Resolve or Forget; an Append before that
// resolves the pending intent first and fails with NotRun when it cannot.
func (w *Writer) Append(ctx context.Context, e *ferrypb.Envelope) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending != nil {
		if _, err := w.resolve(ctx); err != nil {
			return 0, failure.Wrap(failure.LogUnavailable, failure.NotRun, "an earlier append is unresolved", err)
		}
	}
	if err := w.findEnd(ctx); err != nil {
		return 0, failure.Wrap(failure.LogUnavailable, failure.NotRun, "end of the stream is unknown", err)
	}
	data, err := w.encode(e)
	if err != nil {
		return 0, err
	}
	w.pending = &intent{seq: w.seq, data: data}
	return w.resolve(ctx)
}

// Resolve settles the pending intent: it looks for the record, re-sends it if it is not stored and returns its offset.
// Without a pending intent it returns 0 and no error. It fails as Append does.
func (w *Writer) Resolve(ctx context.Context) (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending == nil {
		return 0, nil
	}
	return w.resolve(ctx)
}

// Pending reports whether an intent is unresolved.
func (w *Writer) Pending() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pending != nil
}

// Forget gives the pending intent up without another send. Its record may still appear in the stream
// until a later record of this writer is stored.
func (w *Writer) Forget() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = nil
}

// Observe tells the writer the offset that follows the newest known record, which shortens later searches.
func (w *Writer) Observe(next uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending == nil && next > w.from {
		w.from = next
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

// findEnd reads the end of the stream once, so that a later search need not start at the oldest record.
func (w *Writer) findEnd(ctx context.Context) error {
	if w.from > 0 {
		return nil
	}
	batch, err := w.log.Read(ctx, w.stream, 1, 1)
	if err != nil && !failure.HasCode(err, failure.OffsetExpired) {
		return err
	}
	w.from = max(batch.Next, 1)
	return nil
}

func (w *Writer) resolve(ctx context.Context) (uint64, error) {
	var last error
	for try := range appendTries {
		if try > 0 && !sleep(ctx, w.delay<<(try-1)) {
			break
		}
		offset, done, err := w.try(ctx)
		if done {
			return offset, err
		}
		last = err
	}
	if w.pending.sent {
		return 0, failure.Wrap(failure.LogUnavailable, failure.Unknown, "append is unresolved", last)
	}
	w.pending = nil
	return 0, failure.Wrap(failure.LogUnavailable, failure.NotRun, "append failed", last)
}

// try performs one search and send. It returns done when the intent is settled.
func (w *Writer) try(ctx context.Context) (uint64, bool, error) {
	if w.pending.sent {
		offset, err := w.search(ctx)
		if err != nil {
			return 0, false, err
		}
		if offset > 0 {
			return w.settle(offset), true, nil
		}
	}
	resent := w.pending.sent
	offset, err := w.log.Append(ctx, w.stream, w.pending.data)
	if err != nil {
		return w.sendFailed(err)
	}
	w.pending.sent = true
	if !resent {
		return w.settle(offset), true, nil
	}
	return w.firstCopy(ctx)
}

func (w *Writer) sendFailed(err error) (uint64, bool, error) {
	f := failure.From(err)
	if f.Outcome != failure.NotRun {
		w.pending.sent = true
		return 0, false, err
	}
	if f.Code != failure.LogUnavailable && !w.pending.sent {
		w.pending = nil
		return 0, true, err
	}
	return 0, false, err
}

// firstCopy finds the first copy of a record that was sent twice: an earlier send may have been
// stored after the search and before the second send.
func (w *Writer) firstCopy(ctx context.Context) (uint64, bool, error) {
	offset, err := w.search(ctx)
	if err != nil || offset == 0 {
		return 0, false, err
	}
	return w.settle(offset), true, nil
}

func (w *Writer) settle(offset uint64) uint64 {
	w.pending = nil
	w.from = max(w.from, offset+1)
	return offset
}

// search returns the offset of the first copy of the pending intent; 0 when it is not stored.
func (w *Writer) search(ctx context.Context) (uint64, error) {
	from := w.from
	for {
		batch, err := w.log.Read(ctx, w.stream, from, searchPage)
		if failure.HasCode(err, failure.OffsetExpired) && batch.Oldest > from {
			from = batch.Oldest
			continue
		}
		if err != nil {
			return 0, err
		}
		for _, r := range batch.Records {
			if w.own(r.Data) {
				return r.Offset, nil
			}
			from = r.Offset + 1
		}
		if len(batch.Records) == 0 || from >= batch.Next {
			return 0, nil
		}
	}
}

func (w *Writer) own(data []byte) bool {
	var e ferrypb.Envelope
	if proto.Unmarshal(data, &e) != nil {
		return false
	}
	return e.Writer == w.id && e.WriterSeq == w.pending.seq
}

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
