// Package oncehttp sends HTTP requests at most once and tells whether a failed request may have been sent.
//
// net/http repeats a request on another connection by itself when a reused connection dies and the request looks
// replayable: a safe method or an Idempotency-Key header, with no body or with GetBody. A server that ran the
// request before the connection died would then run it twice. Package oncehttp gives every request a body that
// cannot be rewound, and follows no redirects.
package oncehttp

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"trefoilferry.example/ferry/pkg/failure"
)

// Sender sends requests through one HTTP client. It is safe for concurrent use.
type Sender struct {
	client http.Client
}

// New returns a sender that uses the transport and timeout of client; nil means NewClient().
func New(client *http.Client) *Sender {
	if client == nil {
		client = NewClient()
	}
	s := &Sender{client: *client}
	s.client.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}
	return s
}

// Send sends req once. The body of the answer must be closed.
//
// Failures: BadRequest when req cannot be built; ConnectFailed with outcome NotRun when no connection was
// obtained, so that no byte was written; ConnectionLost with outcome Unknown afterwards. When ctx ended, the
// code is ClientCancelled or DeadlineExpired and the outcome follows the same evidence.
func (s *Sender) Send(ctx context.Context, req Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	out, err := req.build(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		return nil, failure.Wrap(failure.BadRequest, failure.NotRun, "request cannot be built", err)
	}
	resp, err := s.client.Do(out)
	if err != nil {
		return nil, classify(ctx, err, connected.Load())
	}
	return resp, nil
}

// classify maps a transport error to a failure. The headers of a request may be buffered in the transport, so a
// connection handed to the request counts as a byte written.
func classify(ctx context.Context, err error, connected bool) error {
	code, outcome := failure.ConnectFailed, failure.NotRun
	if connected {
		code, outcome = failure.ConnectionLost, failure.Unknown
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = failure.DeadlineExpired
	case ctx.Err() != nil:
		code = failure.ClientCancelled
	}
	return failure.Wrap(code, outcome, "request failed", err)
}
