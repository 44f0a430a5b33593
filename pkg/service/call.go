package service

import (
	"net/http"

	"trefoilferry.example/ferry/pkg/oncehttp"
)

const (
	headerRequestID = "X-Request-Id"
	headerKey       = "Idempotency-Key"
)

// Call is one call to a plain service.
type Call struct {
	Method string
	// Path starts with a slash and is already escaped; it may carry a query.
	Path string
	// Header is passed on without the hop-by-hop fields; it may be nil.
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
	removeHopHeaders(header)
	if c.RequestID != "" {
		header.Set(headerRequestID, c.RequestID)
	}
	if c.IdempotencyKey != "" {
		header.Set(headerKey, c.IdempotencyKey)
	}
	return oncehttp.Request{Method: c.Method, URL: base + c.Path, Header: header, Body: c.Body}
}
