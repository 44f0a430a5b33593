package exchange

import (
	"io"

	"trefoilferry.example/ferry/pkg/bytebudget"
	"trefoilferry.example/ferry/pkg/failure"
)

// maxHeadBytes bounds the head of a response together with the informational responses before it. Backend servers send
// a few hundred bytes; the bound keeps one that sends bytes without end from filling the memory of the process.
const maxHeadBytes = 64 << 10

// headLimiter bounds what is read from a connection while the head of a response is due. Bodies are bounded by their
// readers.
type headLimiter struct {
	in io.Reader
	// inHead is set while a head is read; left is the number of bytes that it may still have.
	inHead bool
	left   int
	// share holds the head.
	share  *bytebudget.Share
	fields fieldCounter
}

// begin starts a head of at most maxHeadBytes that the share holds.
func (l *headLimiter) begin(share *bytebudget.Share) {
	l.inHead, l.left, l.share = true, maxHeadBytes, share
}

// expect starts the next response of the head, whose first bytes have been read already.
func (l *headLimiter) expect(buffered []byte) error {
	l.fields = fieldCounter{}
	return l.fields.count(buffered)
}

// end lifts the bound.
func (l *headLimiter) end() { l.inHead = false }

// Read fails with code FrameMismatch once a head has more than maxHeadBytes or maxHeadFields or exceeds the budget.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.in.Read(p)
	}
	if l.left <= 0 {
		return 0, failure.New(failure.FrameMismatch, failure.Unknown, "the head of the response is too long")
	}
	n, err := l.in.Read(p)
	l.left -= n
	if countErr := l.fields.count(p[:n]); countErr != nil {
		return 0, countErr
	}
	if holdErr := l.share.Hold(int64(maxHeadBytes - l.left)); holdErr != nil {
		return 0, failure.Wrap(failure.FrameMismatch, failure.Unknown, "the head of the response cannot be held", holdErr)
	}
	return n, err
}
