package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

const (
	// maxLineBytes is the maximum length of one line of an event stream.
	maxLineBytes = 4 << 20
	// initialBufferBytes is the initial size of the line buffer; most lines are short.
	initialBufferBytes = 4 << 10
	// drainTimeout limits the wait for the end of the response body after the end marker.
	drainTimeout = 50 * time.Millisecond
)

var (
	dataField  = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// stream reads the events of one generation. Next must not be called concurrently; Close may be.
type stream struct {
	ctx          context.Context
	cancel       context.CancelFunc
	body         io.ReadCloser
	lines        *bufio.Scanner
	requestID    string
	resumeTokens uint32
	tokens       uint32
	err          error
	// complete is true once the end marker has been read.
	complete  atomic.Bool
	closeOnce sync.Once
}

func newStream(ctx context.Context, cancel context.CancelFunc, body io.ReadCloser, req GenerateRequest) *stream {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, initialBufferBytes), maxLineBytes)
	return &stream{ctx: ctx, cancel: cancel, body: body, lines: lines, requestID: req.RequestID, resumeTokens: req.ResumeTokens}
}

// Next returns the next chunk. It returns the last chunk only after reading the end marker, so that a chunk with a
// FinishReason proves that the response is complete. Failures have outcome Unknown and code Truncated, ConnectionLost,
// FrameMismatch, EngineFailed, DeadlineExceeded or ClientCancelled; later calls return the same failure.
func (s *stream) Next() (Chunk, error) {
	if s.err != nil {
		return Chunk{}, s.err
	}
	c, err := s.nextChunk()
	if err != nil {
		s.err = err
		return Chunk{}, err
	}
	if c.FinishReason != "" {
		s.err = io.EOF
		s.complete.Store(true)
	}
	return c, nil
}

// Close releases the stream. It cancels the generation unless the stream has been read to its end.
func (s *stream) Close() error {
	s.closeOnce.Do(func() {
		if s.complete.Load() {
			s.drain()
		}
		s.cancel()
		_ = s.body.Close()
	})
	return nil
}

// drain reads the rest of the response body, so that the connection can be reused.
func (s *stream) drain() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(s.body, initialBufferBytes))
}

// nextChunk returns the next chunk with text or tokens, or the last chunk.
func (s *stream) nextChunk() (Chunk, error) {
	for {
		event, done, err := s.nextEvent()
		if err != nil {
			return Chunk{}, err
		}
		if done {
			return Chunk{}, failure.New(failure.Truncated, failure.Unknown, "stream ended without a finish reason")
		}
		c := event.chunk()
		s.tokens += c.Tokens
		if c.FinishReason != "" {
			return s.readTail(c)
		}
		if c.Text != "" || c.Tokens > 0 {
			return c, nil
		}
	}
}

// readTail reads the rest of the stream after the finish reason (usage events and the end marker) and returns the last
// chunk with its token counts.
func (s *stream) readTail(last Chunk) (Chunk, error) {
	for {
		event, done, err := s.nextEvent()
		if err != nil {
			return Chunk{}, err
		}
		if done {
			break
		}
		if event.chunk().Text != "" {
			return Chunk{}, failure.New(failure.FrameMismatch, failure.Unknown, "event stream has text after the finish reason")
		}
		event.addUsage(&last)
	}
	if last.CompletionTokens == 0 {
		last.CompletionTokens = s.resumeTokens + s.tokens
	}
	return last, nil
}

// nextEvent returns the next event, or done at the end marker.
func (s *stream) nextEvent() (event StreamEvent, done bool, err error) {
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
	return StreamEvent{}, false, s.endFailure()
}

func (s *stream) decode(data []byte) (event StreamEvent, done bool, err error) {
	if err := json.Unmarshal(data, &event); err != nil {
		return event, false, failure.Wrap(failure.Truncated, failure.Unknown, "cannot decode stream event", err)
	}
	if event.Error != nil {
		return event, false, failure.New(failure.EngineFailed, failure.Unknown, event.Error.Message)
	}
	if !event.belongsTo(s.requestID) {
		return event, false, failure.New(failure.FrameMismatch, failure.Unknown, fmt.Sprintf("stream event belongs to another request, want request %q", s.requestID))
	}
	return event, false, nil
}

// endFailure returns the failure of a stream that ended before its end marker.
func (s *stream) endFailure() error {
	err := s.lines.Err()
	switch {
	case errors.Is(s.ctx.Err(), context.DeadlineExceeded):
		return failure.Wrap(failure.DeadlineExceeded, failure.Unknown, "deadline expired while reading the stream", err)
	case s.ctx.Err() != nil:
		return failure.Wrap(failure.ClientCancelled, failure.Unknown, "stream was cancelled", err)
	case err == nil, errors.Is(err, io.ErrUnexpectedEOF):
		return failure.Wrap(failure.Truncated, failure.Unknown, "stream ended without its end marker", err)
	default:
		return failure.Wrap(failure.ConnectionLost, failure.Unknown, "connection lost while reading the stream", err)
	}
}
