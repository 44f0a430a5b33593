package service

import (
	"errors"
	"io"
	"net/http"

	"trefoilferry.example/ferry/pkg/failure"
)

// Response is the response of a service.
type Response struct {
	Status int
	// Header has no hop-by-hop fields.
	Header http.Header
	// Body streams the response body. A body that ends early fails with code Truncated and outcome Unknown, and so does
	// a body delimited by the close of the connection instead of a length or chunks: it cannot be shown to be complete.
	Body io.ReadCloser
}

func newResponse(resp *http.Response) *Response {
	header := resp.Header.Clone()
	removeHopByHopHeaders(header)
	return &Response{Status: resp.StatusCode, Header: header, Body: newResponseBody(resp)}
}

// responseBody converts read errors of a response body to failures.
type responseBody struct {
	in io.ReadCloser
	// closeDelimited reports whether the close of the connection marks the end of the body.
	closeDelimited bool
}

func newResponseBody(resp *http.Response) *responseBody {
	closeDelimited := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.ProtoMajor == 1
	return &responseBody{in: resp.Body, closeDelimited: closeDelimited}
}

// Read implements io.Reader; io.EOF means that the body is complete.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.in.Read(p)
	switch {
	case err == nil:
		return n, nil
	case !errors.Is(err, io.EOF):
		return n, failure.Wrap(failure.Truncated, failure.Unknown, "service response ended early", err)
	case b.closeDelimited:
		return n, failure.New(failure.Truncated, failure.Unknown, "service response has neither a length nor chunks, so its end cannot be verified")
	}
	return n, io.EOF
}

// Close releases the connection. It aborts a response that was not read to its end.
func (b *responseBody) Close() error {
	return b.in.Close()
}
