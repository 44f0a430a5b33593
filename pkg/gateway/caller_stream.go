package gateway

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"os"
	"sync"
	"time"

	"trefoilferry.example/ferry/pkg/bytebudget"
	"trefoilferry.example/ferry/pkg/failure"
)

const (
	// maxBacklogBytes bounds the events that are held for one caller.
	maxBacklogBytes = 1 << 20
	// directBytes is the most that is written without a look at the connection since the last one: any connection takes as
	// much after a look that shows it to be writable, and at the beginning of a response.
	directBytes = 1 << 10
	// maxDirectBytes is the longest write that is not handed over. Longer ones may block although the connection is writable.
	maxDirectBytes = 16 << 10
	// pieceBytes is the size of writes of the backlog. A caller that takes this much within its patience is not cut off.
	pieceBytes = 4 << 10
)

// callerStream writes the events of a stream to its caller. As long as the caller keeps up, the goroutine that reads from the
// server writes as well. Once a write would block, events are held, and another goroutine writes them until none are left.
// write, finish and close are called by one goroutine.
type callerStream struct {
	w       http.ResponseWriter
	control *http.ResponseController
	conn    *callerConn
	budget  *bytebudget.Budget
	// share is what the backlog holds. It is used with mu locked.
	share *bytebudget.Share
	// unchecked counts the bytes that were written directly since the connection was last found writable.
	unchecked int
	flushed   bool

	mu sync.Mutex
	// writing is set while the other goroutine runs; it alone uses w then.
	writing bool
	// pending are the held events that are not being written yet, taken is the capacity of the buffer that is.
	pending []byte
	taken   int
	failed  *failure.Failure
	closed  bool
	// progressAt is when the caller last took a part of the backlog.
	progressAt time.Time
	// changed gets a value when the caller takes a buffer of the backlog and when the other goroutine ends.
	changed chan struct{}
	// peak is the most that the backlog has held, in bytes.
	peak int
	// slow is why the stream was ended for its caller; empty if it was not. left is how many bytes of the backlog were
	// dropped then.
	slow slowReason
	left int
}

// slowReason is why a response was ended that its caller reads too slowly.
type slowReason string

// Reasons to end a response.
const (
	// slowNoRoom means that there was no room for more of a stream, and the caller took nothing.
	slowNoRoom slowReason = "no_room"
	// slowStalled means that the caller took nothing for as long as its patience.
	slowStalled slowReason = "stalled"
)

func newCallerStream(ctx context.Context, w http.ResponseWriter, budget *bytebudget.Budget) *callerStream {
	return &callerStream{w: w, control: http.NewResponseController(w), conn: callerConnOf(ctx), budget: budget, share: budget.Share(), changed: make(chan struct{}, 1)}
}

// write writes complete events, or holds them if the caller does not take more now. While there is no room for them, it waits
// as long as the caller goes on reading.
func (s *callerStream) write(ctx context.Context, events []byte) *failure.Failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed != nil {
		return s.failed
	}
	if !s.writing && s.takesNow(len(events)) {
		s.flushed = true
		s.setDeadline()
		if fail := s.writeNow(events); fail != nil {
			s.noteStall(fail, len(events))
			return s.fail(fail)
		}
		return nil
	}
	if !s.flushed {
		// The header is written by this goroutine, which is the one that may change it.
		if err := s.control.Flush(); err != nil {
			return callerGone(err)
		}
		s.flushed = true
	}
	began := time.Now()
	for !s.hold(len(events)) {
		since := began
		if s.progressAt.After(since) {
			since = s.progressAt
		}
		left := roomPatience - time.Since(since)
		if left <= 0 {
			s.slow, s.left = slowNoRoom, s.taken+len(s.pending)
			return s.fail(failure.New(failure.ClientCancelled, failure.Unknown, "the caller reads too slowly: there is no room for more of its stream"))
		}
		if fail := s.await(ctx, left); fail != nil {
			return fail
		}
		if s.failed != nil {
			return s.failed
		}
	}
	s.pending = append(s.pending, events...)
	s.peak = max(s.peak, s.taken+len(s.pending))
	if !s.writing {
		s.writing, s.progressAt = true, time.Now()
		go s.drain()
	}
	return nil
}

// takesNow reports whether the connection takes n bytes without blocking.
func (s *callerStream) takesNow(n int) bool {
	if s.conn == nil || s.unchecked+n <= directBytes {
		s.unchecked += n
		return true
	}
	if n > maxDirectBytes || !s.conn.writable() {
		return false
	}
	s.unchecked = n
	return true
}

// setDeadline bounds the next write.
func (s *callerStream) setDeadline() {
	// Only writers of tests have no deadlines.
	_ = s.control.SetWriteDeadline(time.Now().Add(callerPatience(s.budget.Used(), s.budget.Limit())))
}

// writeNow writes events and flushes them.
func (s *callerStream) writeNow(events []byte) *failure.Failure {
	if _, err := s.w.Write(events); err != nil {
		return callerGone(err)
	}
	if err := s.control.Flush(); err != nil {
		return callerGone(err)
	}
	return nil
}

// hold makes room for n more bytes of the backlog and reports whether there is some. An empty backlog takes any event.
func (s *callerStream) hold(n int) bool {
	need := len(s.pending) + n
	if held := s.taken + len(s.pending); held > 0 && held+n > maxBacklogBytes {
		return false
	}
	if need <= cap(s.pending) {
		return true
	}
	size := max(bytebudget.Grown(len(s.pending)), need, pieceBytes)
	if s.share.Hold(int64(s.taken+size)) != nil {
		// The budget allows no more now.
		return false
	}
	s.pending = append(make([]byte, 0, size), s.pending...)
	return true
}

// await waits for a change of the backlog, for at most the given time. It unlocks mu meanwhile.
func (s *callerStream) await(ctx context.Context, limit time.Duration) *failure.Failure {
	s.mu.Unlock()
	defer s.mu.Lock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-s.changed:
	case <-timer.C:
	case <-ctx.Done():
		code := failure.DeadlineExceeded
		if ctx.Err() == context.Canceled {
			code = failure.ClientCancelled
		}
		return failure.New(code, failure.Unknown, "the request ended, or its caller takes nothing, while there was no room for more of its stream")
	}
	return nil
}

// fail ends the stream. It is called with mu locked.
func (s *callerStream) fail(f *failure.Failure) *failure.Failure {
	if s.failed == nil {
		s.failed = f
	}
	return s.failed
}

// noteStall records that a write failed because the caller took nothing of left bytes, if it is so.
func (s *callerStream) noteStall(f *failure.Failure, left int) {
	if s.slow == "" && !s.closed && errors.Is(f, os.ErrDeadlineExceeded) {
		s.slow, s.left = slowStalled, left
	}
}

// drain writes the backlog until it is empty or the stream has failed.
func (s *callerStream) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) > 0 && s.failed == nil && !s.closed {
		buffer := s.pending
		s.pending, s.taken = nil, cap(buffer)
		s.mu.Unlock()
		fail := s.writePieces(buffer)
		s.mu.Lock()
		s.taken = 0
		if fail != nil {
			s.noteStall(fail, len(buffer)+len(s.pending))
			_ = s.fail(fail)
			break
		}
		// Less than before needs nothing of the budget.
		_ = s.share.Hold(int64(cap(s.pending)))
		s.signal()
	}
	s.writing, s.pending = false, nil
	s.unchecked = directBytes
	s.share.Release()
	s.signal()
}

// writePieces writes events in pieces, none of which ends inside an event of usual size.
func (s *callerStream) writePieces(events []byte) *failure.Failure {
	for len(events) > 0 && s.beginPiece() {
		n := pieceEnd(events, pieceBytes)
		if fail := s.writeNow(events[:n]); fail != nil {
			return fail
		}
		events = events[n:]
	}
	return nil
}

// beginPiece bounds the write of the next piece; it returns false if the stream was closed. The caller has taken the piece
// before it.
func (s *callerStream) beginPiece() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.progressAt = time.Now()
	if !s.closed {
		s.setDeadline()
	}
	return !s.closed
}

// pieceEnd returns the length of the first part of events that ends with an event and is no longer than size if possible.
func pieceEnd(events []byte, size int) int {
	if len(events) <= size {
		return len(events)
	}
	if end := lastEventEnd(events[:size]); end > 0 {
		return end
	}
	from := size - maxEventEnd
	end := len(events)
	for _, mark := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(events[from:], []byte(mark)); i >= 0 {
			end = min(end, from+i+len(mark))
		}
	}
	return end
}

// signal wakes a goroutine that waits for a change.
func (s *callerStream) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// finish waits until the caller has taken the whole backlog. A caller that takes nothing ends it by the deadline of the
// write, so it needs no limit of its own.
func (s *callerStream) finish() *failure.Failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.writing && s.failed == nil {
		s.mu.Unlock()
		<-s.changed
		s.mu.Lock()
	}
	return s.failed
}

// close drops the backlog and returns when nothing is written any more.
func (s *callerStream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for s.writing {
		_ = s.control.SetWriteDeadline(time.Unix(1, 0))
		s.mu.Unlock()
		<-s.changed
		s.mu.Lock()
	}
	s.share.Release()
}

func callerGone(err error) *failure.Failure {
	return failure.Wrap(failure.ClientCancelled, failure.Unknown, "the caller's connection is closed, or it does not read", err)
}
