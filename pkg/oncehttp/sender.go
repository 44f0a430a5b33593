// Package oncehttp sends HTTP requests at most once and reports whether a failed request may have been sent.
//
// net/http retries a request on another connection if a reused connection is lost and the request looks replayable: a
// safe method or an Idempotency-Key header, with no body or with GetBody. A server that executed the request before the
// connection was lost would then execute it twice. To prevent this, package oncehttp gives every request a body that
// cannot be rewound. It does not follow redirects either.
package oncehttp

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/verdict"
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

// Send sends req once. The caller must close the response body.
//
// Failures: BadRequest if req is not a valid request; ConnectFailed with outcome NotRun if no connection was obtained, so
// that no byte was written; FrameMismatch with outcome Unknown if the response is not valid HTTP; ConnectionLost with outcome
// Unknown otherwise. If ctx is done, the code is ClientCancelled or DeadlineExceeded and the outcome is determined in the
// same way.
func (s *Sender) Send(ctx context.Context, req Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	out, err := req.newHTTPRequest(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		return nil, failure.Wrap(failure.BadRequest, failure.NotRun, "request cannot be built", err)
	}
	resp, err := s.client.Do(out)
	if err != nil {
		return nil, classify(ctx, err, connected.Load())
	}
	return resp, nil
}

// classify converts a transport error to a failure. Once the request has been assigned a connection, it counts as sent,
// because the transport buffers writes and does not tell whether a byte has reached the connection.
func classify(ctx context.Context, err error, connected bool) error {
	code, outcome := failure.ConnectFailed, verdict.Exchange{Connected: connected}.Outcome()
	if connected {
		code = failure.ConnectionLost
	}
	if failure.HasCode(err, failure.FrameMismatch) {
		code = failure.FrameMismatch
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code = failure.DeadlineExceeded
	case ctx.Err() != nil:
		code = failure.ClientCancelled
	}
	return failure.Wrap(code, outcome, "request failed", err)
}
