package oncehttp

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// Request is one request to send.
type Request struct {
	Method string
	URL    string
	// Header is copied; it may be nil.
	Header http.Header
	// Body may be empty.
	Body []byte
}

// singleBody hides the type of its reader, so that net/http cannot install GetBody.
type singleBody struct {
	io.Reader
}

// Close does nothing; the bytes are in memory.
func (singleBody) Close() error {
	return nil
}

// build returns a request whose body net/http cannot rewind. An empty body is given as a reader as well, because
// a request without one counts as replayable; net/http then sends it without a body or as an empty chunked one.
func (r Request) build(ctx context.Context) (*http.Request, error) {
	out, err := http.NewRequestWithContext(ctx, r.Method, r.URL, singleBody{bytes.NewReader(r.Body)})
	if err != nil {
		return nil, err
	}
	if len(r.Body) > 0 {
		out.ContentLength = int64(len(r.Body))
	}
	if r.Header != nil {
		out.Header = r.Header.Clone()
	}
	return out, nil
}
