package httpvalid

import (
	"io"
	"net/http"
)

// trailerChecker is the body of a response with chunks. It checks the trailer, which net/http reads before it reports the
// end of the body.
type trailerChecker struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (c *trailerChecker) Read(p []byte) (int, error) {
	n, err := c.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if invalid := checkFieldNames(c.resp.Trailer); invalid != nil {
		return n, invalid
	}
	return n, io.EOF
}
