package exchange

import (
	"strconv"

	"trefoilferry.example/ferry/pkg/failure"
)

// maxHeadFields bounds the header fields of a response. A decoded field takes up to fifty times the bytes of a short one, so
// that the bound on bytes does not bound the memory. Backend servers send a dozen.
const maxHeadFields = 128

// fieldCounter counts the lines of the head of one response, up to the blank line that ends it.
type fieldCounter struct {
	lines int
	// inLine is set within a line that is not blank, ended after the blank line.
	inLine bool
	ended  bool
}

// count counts the lines in p. It fails with code FrameMismatch once there are more than maxHeadFields.
func (f *fieldCounter) count(p []byte) error {
	for _, b := range p {
		switch {
		case f.ended:
			return nil
		case b == '\n' && !f.inLine:
			f.ended = true
		case b == '\n':
			f.lines++
			f.inLine = false
		case b != '\r':
			f.inLine = true
		}
		// The first line is the status line.
		if f.lines > maxHeadFields+1 {
			return failure.New(failure.FrameMismatch, failure.Unknown, "the head of the response has more than "+strconv.Itoa(maxHeadFields)+" fields")
		}
	}
	return nil
}
