package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

const (
	// maxLineBytes bounds one line of an event stream.
	maxLineBytes = 4 << 20
	// firstLineBytes is the initial buffer; most lines are short.
	firstLineBytes = 4 << 10
	// drainTimeout bounds the wait for the end of an answer whose end marker has arrived.
	drainTimeout = 50 * time.Millisecond
)

var (
	dataField  = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// stream reads the events of one generation. Next must not be called concurrently; Close may be.
type stream struct {
	ctx       context.Context
	cancel    context.CancelFunc
	body      io.ReadCloser
	lines     *bufio.Scanner
	requestID string
	resumed   uint32
	tokens    uint32
	err       error
	// whole is set once the end marker has been read.
	whole   atomic.Bool
	closing sync.Once
}

func newStream(ctx context.Context, cancel context.CancelFunc, body io.ReadCloser, req GenerateRequest) *stream {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, firstLineBytes), maxLineBytes)
	return &stream{ctx: ctx, cancel: cancel, body: body, lines: lines, requestID: req.RequestID, resumed: req.ResumeTokens}
}

// Next returns the next chunk. The last chunk is held back until the end marker has been read, so that a chunk with
// a FinishReason proves a whole answer. Failures have outcome Unknown and code Truncated, ConnectionLost,
// FrameMismatch or EngineFailed, and repeat on further calls.
func (s *stream) Next() (Chunk, error) {
	if s.err != nil {
		return Chunk{}, s.err
	}
	c, err := s.next()
	if err != nil {
		s.err = err
		return Chunk{}, err
	}
	if c.FinishReason != "" {
		s.err = io.EOF
		s.whole.Store(true)
	}
	return c, nil
}

// Close ends the stream. It cancels the work at the engine unless the stream has been read to its end.
func (s *stream) Close() error {
	s.closing.Do(func() {
		if s.whole.Load() {
			s.drain()
		}
		s.cancel()
		_ = s.body.Close()
	})
	return nil
}

// drain reads up to the end of the answer, so that the connection can be used again.
func (s *stream) drain() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(s.body, firstLineBytes))
}

func (s *stream) next() (Chunk, error) {
	for {
		event, done, err := s.event()
		if err != nil {
			return Chunk{}, err
		}
		if done {
			return Chunk{}, failure.New(failure.Truncated, failure.Unknown, "stream ended without a finish reason")
		}
		c := event.chunk()
		s.tokens += c.Tokens
		if c.FinishReason != "" {
			return s.finish(c)
		}
		if c.Text != "" || c.Tokens > 0 {
			return c, nil
		}
	}
}

// finish reads the rest of the stream after the finish reason: usage events and the end marker.
func (s *stream) finish(last Chunk) (Chunk, error) {
	for {
		event, done, err := s.event()
		if err != nil {
			return Chunk{}, err
		}
		if done {
			break
		}
		if event.chunk().Text != "" {
			return Chunk{}, failure.New(failure.FrameMismatch, failure.Unknown, "text after the finish reason")
		}
		event.addUsage(&last)
	}
	if last.CompletionTokens == 0 {
		last.CompletionTokens = s.resumed + s.tokens
	}
	return last, nil
}

// event returns the next event, or done at the end marker.
func (s *stream) event() (event StreamEvent, done bool, err error) {
	for s.lines.Scan() {
		data, ok := bytes.CutPrefix(s.lines.Bytes(), dataField)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			return StreamEvent{}, true, nil
		}
		return s.decode(data)
	}
	return StreamEvent{}, false, s.broken()
}

func (s *stream) decode(data []byte) (event StreamEvent, done bool, err error) {
	if err := json.Unmarshal(data, &event); err != nil {
		return event, false, failure.Wrap(failure.Truncated, failure.Unknown, "event does not decode", err)
	}
	if event.Error != nil {
		return event, false, failure.New(failure.EngineFailed, failure.Unknown, event.Error.Message)
	}
	if !event.belongsTo(s.requestID) {
		return event, false, failure.New(failure.FrameMismatch, failure.Unknown, "event of another request")
	}
	return event, false, nil
}

// broken returns the failure of a stream that ended before its end marker.
func (s *stream) broken() error {
	err := s.lines.Err()
	switch {
	case errors.Is(s.ctx.Err(), context.DeadlineExceeded):
		return failure.Wrap(failure.DeadlineExpired, failure.Unknown, "stream passed its deadline", err)
	case s.ctx.Err() != nil:
		return failure.Wrap(failure.ClientCancelled, failure.Unknown, "stream was cancelled", err)
	case err == nil, errors.Is(err, io.ErrUnexpectedEOF):
		return failure.Wrap(failure.Truncated, failure.Unknown, "stream ended without its end marker", err)
	default:
		return failure.Wrap(failure.ConnectionLost, failure.Unknown, "stream broke", err)
	}
}
