package gateway

import (
	"bytes"
	"io"
	"strconv"

	"trefoilferry.example/ferry/pkg/failure"
)

const (
	// eventChunk is the size of one read of a stream, in bytes.
	eventChunk = 4096
	// maxEvent bounds one event in bytes; longer ones are not events of a model runner.
	maxEvent = 1 << 20
)

// eventReader cuts a stream into complete events. A stream that breaks off inside an event yields no part of it.
type eventReader struct {
	in      io.Reader
	pending []byte
}

// next returns the complete events that the next read brings. It returns io.EOF after the last event of a stream that
// ended completely, and a failure if the stream broke off.
func (r *eventReader) next() ([]byte, error) {
	for {
		if end := lastBoundary(r.pending); end > 0 {
			events := r.pending[:end:end]
			r.pending = append([]byte(nil), r.pending[end:]...)
			return events, nil
		}
		if len(r.pending) > maxEvent {
			return nil, failure.New(failure.FrameMismatch, failure.Unknown, "an event is too long")
		}
		chunk := make([]byte, eventChunk)
		n, err := r.in.Read(chunk)
		r.pending = append(r.pending, chunk[:n]...)
		if err == nil || (n > 0 && lastBoundary(r.pending) > 0) {
			continue
		}
		if err == io.EOF && len(r.pending) > 0 {
			return nil, failure.New(failure.Truncated, failure.Unknown, "the stream ended inside an event")
		}
		return nil, err
	}
}

// lastBoundary returns the index after the last complete event; 0 when there is none.
func lastBoundary(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// eventID returns the id of the last event that has one, and the id of the first.
func eventIDs(events []byte) (first, last string) {
	for line := range bytes.Lines(events) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		last = string(bytes.TrimSpace(value))
		if first == "" {
			first = last
		}
	}
	return first, last
}

// follows reports whether an event id directly follows another. Ids that are no numbers are not compared.
func follows(previous, next string) bool {
	p, errP := strconv.ParseInt(previous, 10, 64)
	n, errN := strconv.ParseInt(next, 10, 64)
	return errP != nil || errN != nil || n == p+1
}
