package gateway

import (
	"bytes"
	"io"
	"slices"
	"strconv"

	"trefoilferry.example/ferry/pkg/bytebudget"
	"trefoilferry.example/ferry/pkg/failure"
)

const (
	// eventReadBytes is the size of the first read of a stream or event, minEventRead that of the smallest one.
	eventReadBytes = 4096
	minEventRead   = 512
	// maxEventEnd is the length of the longest end of an event.
	maxEventEnd = len("\r\n\r\n")
	// maxEventBytes bounds one event; model runners send none that are longer.
	maxEventBytes = 1 << 20
)

// eventReader splits a server-sent event stream into complete events. An event that is cut off is not returned.
type eventReader struct {
	in io.Reader
	// hold accounts for the memory of the event that is being received; it fails if there is not enough.
	hold    func(size int64) error
	pending []byte
	// searched is the length of the part of pending that holds no end of an event.
	searched int
}

// next reads until at least one event is complete and returns the complete events. It returns io.EOF if the stream
// ended after a complete event, and a failure if it ended inside one or the read failed.
func (r *eventReader) next() ([]byte, error) {
	for {
		if end := r.completeEnd(); end > 0 {
			events := r.pending[:end:end]
			r.pending, r.searched = append([]byte(nil), r.pending[end:]...), 0
			return events, nil
		}
		if len(r.pending) > maxEventBytes {
			return nil, failure.New(failure.FrameMismatch, failure.Unknown, "an event of the stream is longer than "+strconv.Itoa(maxEventBytes)+" bytes")
		}
		if err := r.grow(); err != nil {
			return nil, err
		}
		n, err := r.in.Read(r.pending[len(r.pending):cap(r.pending)])
		r.pending = r.pending[:len(r.pending)+n]
		if err == nil || (n > 0 && r.completeEnd() > 0) {
			continue
		}
		if err == io.EOF && len(r.pending) > 0 {
			return nil, failure.New(failure.Truncated, failure.Unknown, "the stream ended "+strconv.Itoa(len(r.pending))+" bytes into an event")
		}
		return nil, err
	}
}

// grow makes room for another read of the event.
func (r *eventReader) grow() error {
	if cap(r.pending)-len(r.pending) >= minEventRead {
		return nil
	}
	size := max(bytebudget.Grown(len(r.pending)), eventReadBytes)
	if err := r.hold(int64(size)); err != nil {
		// Another server may send a usual event.
		return failure.Wrap(failure.FrameMismatch, failure.Unknown, "an event of the stream cannot be held", err)
	}
	r.pending = slices.Grow(r.pending, size-len(r.pending))
	return nil
}

// completeEnd returns the index after the last complete event in pending; 0 if there is none. Only bytes that were not
// searched before are looked at.
func (r *eventReader) completeEnd() int {
	from := max(r.searched-maxEventEnd+1, 0)
	r.searched = len(r.pending)
	if end := lastEventEnd(r.pending[from:]); end > 0 {
		r.searched = 0
		return from + end
	}
	return 0
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
