package oncehttp

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// Request is an HTTP request.
type Request struct {
	Method string
	URL    string
	// Header is copied before use; it may be nil.
	Header http.Header
	// Body may be empty.
	Body []byte
}

// nonRewindableBody hides the type of its reader, so that net/http does not set GetBody and cannot rewind the body.
type nonRewindableBody struct {
	io.Reader
}

// Close does nothing, because the body is in memory.
func (nonRewindableBody) Close() error {
	return nil
}

// newHTTPRequest returns a request whose body net/http cannot rewind. An empty body is passed as a reader too, because
// net/http may retry a request with a nil body; it sends the empty one as no body or as an empty chunked body.
func (r Request) newHTTPRequest(ctx context.Context) (*http.Request, error) {
	out, err := http.NewRequestWithContext(ctx, r.Method, r.URL, nonRewindableBody{bytes.NewReader(r.Body)})
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
