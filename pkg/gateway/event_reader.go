package gateway

import (
	"bytes"
	"io"
	"strconv"

	"trefoilferry.example/ferry/pkg/failure"
)

const (
	// eventReadBytes is the size of one read of a stream.
	eventReadBytes = 4096
	// maxEventBytes bounds one event; model runners send none that are longer.
	maxEventBytes = 1 << 20
)

// eventReader splits a server-sent event stream into complete events. An event that is cut off is not returned.
type eventReader struct {
	in      io.Reader
	pending []byte
}

// next reads until at least one event is complete and returns the complete events. It returns io.EOF if the stream
// ended after a complete event, and a failure if it ended inside one or the read failed.
func (r *eventReader) next() ([]byte, error) {
	for {
		if end := lastEventEnd(r.pending); end > 0 {
			events := r.pending[:end:end]
			r.pending = append([]byte(nil), r.pending[end:]...)
			return events, nil
		}
		if len(r.pending) > maxEventBytes {
			return nil, failure.New(failure.FrameMismatch, failure.Unknown, "an event of the stream is longer than "+strconv.Itoa(maxEventBytes)+" bytes")
		}
		chunk := make([]byte, eventReadBytes)
		n, err := r.in.Read(chunk)
		r.pending = append(r.pending, chunk[:n]...)
		if err == nil || (n > 0 && lastEventEnd(r.pending) > 0) {
			continue
		}
		if err == io.EOF && len(r.pending) > 0 {
			return nil, failure.New(failure.Truncated, failure.Unknown, "the stream ended "+strconv.Itoa(len(r.pending))+" bytes into an event")
		}
		return nil, err
	}
}

// lastEventEnd returns the index after the last complete event; 0 if there is none.
func lastEventEnd(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// eventIDs returns the first and the last event id in events; empty if no event has one.
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

// carriesData reports whether any of the events has a data field.
func carriesData(events []byte) bool {
	for line := range bytes.Lines(events) {
		if bytes.HasPrefix(line, []byte("data")) {
			return true
		}
	}
	return false
}

// isNextEventID reports whether next is previous plus one. It returns true if either id is not a number, because such
// ids cannot be compared.
func isNextEventID(previous, next string) bool {
	p, errP := strconv.ParseInt(previous, 10, 64)
	n, errN := strconv.ParseInt(next, 10, 64)
	return errP != nil || errN != nil || n == p+1
}
