package exchange

import (
	"io"
	"strconv"

	"trefoilferry.example/ferry/pkg/failure"
)

// maxDiscardBytes bounds the body of a stale response that is read to reach the next response.
const maxDiscardBytes = 1 << 20

// discardBody reads the body of a stale response to its end.
func discardBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardBytes))
	if err != nil {
		return err
	}
	if n == maxDiscardBytes {
		return failure.New(failure.FrameMismatch, failure.Unknown, "a response to an earlier request is too long to be skipped: at least "+strconv.Itoa(maxDiscardBytes)+" bytes")
	}
	return nil
}
