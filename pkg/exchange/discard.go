package exchange

import (
	"io"

	"trefoilferry.example/ferry/pkg/failure"
)

// maxDiscard bounds the bytes of a late answer that are read to reach the next one.
const maxDiscard = 1 << 20

func discard(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscard))
	if err != nil {
		return err
	}
	if n == maxDiscard {
		return failure.New(failure.FrameMismatch, failure.Unknown, "a late answer is too long to be skipped")
	}
	return nil
}
