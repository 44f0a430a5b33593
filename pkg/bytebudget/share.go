package bytebudget

import (
	"io"
	"slices"
	"strconv"

	"trefoilferry.example/ferry/pkg/failure"
)

// Share is what one message holds of a budget. It is not safe for concurrent use.
type Share struct {
	budget *Budget
	taken  int64
	// base is the size of what was kept before the present part of the message.
	base int64
	size int64
}

// Share returns an empty share, which the caller must release.
func (b *Budget) Share() *Share { return &Share{budget: b} }

// Hold makes the share large enough for a part of size bytes beside those that were kept, and no larger. It fails with code
// BodyTooLarge if the budget does not allow it.
func (s *Share) Hold(size int64) error {
	total := s.base + size
	n := max(total-Allowance+step-1, 0) / step * step
	if n > s.taken && !s.budget.take(s.taken, n-s.taken) {
		return failure.New(failure.BodyTooLarge, failure.Ran, "messages that are being received hold too much memory: "+
			strconv.FormatInt(s.budget.Used(), 10)+" of "+strconv.FormatInt(s.budget.limit, 10)+" bytes, "+strconv.FormatInt(s.taken, 10)+" of them by this one")
	}
	if n < s.taken {
		s.budget.used.Add(n - s.taken)
	}
	s.taken, s.size = n, total
	return nil
}

// Keep keeps what the share holds while the next part of the message is received.
func (s *Share) Keep() { s.base = s.size }

// Release returns what the share holds.
func (s *Share) Release() {
	s.budget.used.Add(-s.taken)
	s.taken, s.base, s.size = 0, 0, 0
}

// initialBytes holds the response of most plain services.
const initialBytes = 1 << 10

// maxDoubled is the size up to which a full buffer is doubled; a longer one grows by a quarter.
const maxDoubled = 256 << 10

// Grown returns the next capacity of a full buffer of size bytes.
func Grown(size int) int {
	if size <= maxDoubled {
		return 2 * size
	}
	return size + size/4
}

// ReadAll reads a body to its end, which the share holds from then on. It fails with code BodyTooLarge for a body that is
// longer than limit bytes or exceeds the budget.
func (s *Share) ReadAll(in io.Reader, limit int64) ([]byte, error) {
	limited := io.LimitReader(in, limit+1)
	body := make([]byte, 0, initialBytes)
	for {
		if len(body) == cap(body) {
			size := Grown(len(body))
			if err := s.Hold(int64(size)); err != nil {
				return nil, err
			}
			body = slices.Grow(body, size-len(body))
		}
		n, err := limited.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, failure.New(failure.BodyTooLarge, failure.Ran, "the body is longer than "+strconv.FormatInt(limit, 10)+" bytes")
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}
