package service

import (
	"net/http"

	"trefoilferry.example/ferry/pkg/oncehttp"
)

const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// Call is one HTTP call to a plain service.
type Call struct {
	Method string
	// Path starts with a slash and is already escaped; it may include a query.
	Path string
	// Header is sent without its hop-by-hop fields; it may be nil.
	Header http.Header
	Body   []byte
	// RequestID is sent as X-Request-Id unless empty.
	RequestID string
	// IdempotencyKey is sent as Idempotency-Key unless empty.
	IdempotencyKey string
}

func (c Call) request(base string) oncehttp.Request {
	header := http.Header{}
	if c.Header != nil {
		header = c.Header.Clone()
	}
	removeHopByHopHeaders(header)
	if c.RequestID != "" {
		header.Set(headerRequestID, c.RequestID)
	}
	if c.IdempotencyKey != "" {
		header.Set(headerIdempotencyKey, c.IdempotencyKey)
	}
	return oncehttp.Request{Method: c.Method, URL: base + c.Path, Header: header, Body: c.Body}
}
