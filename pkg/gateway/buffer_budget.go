package gateway

import (
	"io"
	"slices"
	"strconv"
	"sync/atomic"

	"trefoilferry.example/ferry/pkg/failure"
)

const (
	// maxBufferedTotal bounds the response bodies that are buffered at a time, over all requests. It is a quarter of the
	// memory of the smallest entry hosts (184 MB), because a buffer that grows is copied.
	maxBufferedTotal = 46 << 20
	// bufferStep is how many bytes a body reserves at a time.
	bufferStep = 32 << 10
	// initialBodyBytes holds the response of most plain services.
	initialBodyBytes = 1 << 10
)

// bufferBudget bounds the total size of buffered response bodies, so that servers that send bodies without end cannot
// fill the memory of the process. It is safe for concurrent use.
type bufferBudget struct{ used atomic.Int64 }

// reserve takes n bytes; it returns false if they are not available.
func (b *bufferBudget) reserve(n int64) bool {
	if b.used.Add(n) > maxBufferedTotal {
		b.used.Add(-n)
		return false
	}
	return true
}

// release returns n bytes.
func (b *bufferBudget) release(n int64) { b.used.Add(-n) }

// readAll reads a body to its end and returns it with the number of bytes that it reserved, which the caller releases
// once the body is no longer used. It fails with code BodyTooLarge for a body that is longer than maxBufferedBytes or
// exceeds the budget.
func (b *bufferBudget) readAll(in io.Reader) (body []byte, reserved int64, err error) {
	limited := io.LimitReader(in, maxBufferedBytes+1)
	body = make([]byte, 0, initialBodyBytes)
	for {
		if len(body) == cap(body) {
			body = slices.Grow(body, len(body))
		}
		n, readErr := limited.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		for int64(len(body)) > reserved {
			if !b.reserve(bufferStep) {
				return nil, reserved, failure.New(failure.BodyTooLarge, failure.Ran, "the response bodies that are being read exceed "+strconv.Itoa(maxBufferedTotal)+" bytes")
			}
			reserved += bufferStep
		}
		switch {
		case readErr == io.EOF && len(body) > maxBufferedBytes:
			return nil, reserved, failure.New(failure.BodyTooLarge, failure.Ran, "the response body is longer than "+strconv.Itoa(maxBufferedBytes)+" bytes")
		case readErr == io.EOF:
			return body, reserved, nil
		case readErr != nil:
			return nil, reserved, readErr
		}
	}
}
