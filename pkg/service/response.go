package service

import (
	"errors"
	"io"
	"net/http"

	"trefoilferry.example/ferry/pkg/failure"
)

// Response is the answer of a service.
type Response struct {
	Status int
	// Header has no hop-by-hop fields.
	Header http.Header
	// Body streams the answer. A body that breaks before its end fails with code Truncated and outcome Unknown, and
	// so does one that ends with the connection instead of a length or chunks, since it cannot be shown to be whole.
	Body io.ReadCloser
}

func newResponse(resp *http.Response) *Response {
	header := resp.Header.Clone()
	removeHopHeaders(header)
	return &Response{Status: resp.StatusCode, Header: header, Body: newBody(resp)}
}

// body turns read errors of an answer into failures.
type body struct {
	in io.ReadCloser
	// unframed marks an answer whose end is the end of the connection.
	unframed bool
}

func newBody(resp *http.Response) *body {
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.ProtoMajor == 1
	return &body{in: resp.Body, unframed: unframed}
}

// Read reads the next bytes; io.EOF marks the whole answer.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.in.Read(p)
	switch {
	case err == nil:
		return n, nil
	case !errors.Is(err, io.EOF):
		return n, failure.Wrap(failure.Truncated, failure.Unknown, "answer of the service broke off", err)
	case b.unframed:
		return n, failure.New(failure.Truncated, failure.Unknown, "answer of the service has no marked end")
	}
	return n, io.EOF
}

// Close releases the connection; an answer that was not read to its end is cancelled.
func (b *body) Close() error {
	return b.in.Close()
}
