package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/frame"
	"trefoilferry.example/ferry/pkg/oncehttp"
)

// askTimeout bounds the wait for the agent to ask for the body of a call; the deadline of the request ends it earlier.
const askTimeout = 24 * time.Hour

// maxIdlePerAgent is the number of idle connections kept to one agent.
const maxIdlePerAgent = 32

// Executor sends exec calls to agents. It is safe for concurrent use.
type Executor struct {
	pooled   *http.Client
	unpooled *http.Client
}

// NewExecutor returns an executor that waits up to connectTimeout for a connection and closes connections that were idle
// for idleTimeout.
func NewExecutor(connectTimeout, idleTimeout time.Duration) *Executor {
	dialer := &net.Dialer{Timeout: connectTimeout}
	pooled := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerAgent,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: oncehttp.MaxHeaderBytes,
	}
	unpooled := pooled.Clone()
	unpooled.DisableKeepAlives = true
	unpooled.ExpectContinueTimeout = askTimeout
	return &Executor{pooled: execClient(pooled), unpooled: execClient(unpooled)}
}

func execClient(transport *http.Transport) *http.Client {
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
}

// ExecStream is the response stream of an exec call.
type ExecStream struct {
	*frame.Reader
	body io.ReadCloser
}

// Close ends the call. If the response was not read to its end, this closes the connection, on which the agent cancels
// the call.
func (s *ExecStream) Close() {
	s.Drained()
	_ = s.body.Close()
}

// Exec sends a request to the agent at address and returns its response stream. An error has outcome NotRun only if none
// of the body, which holds the exec request, was sent. Requests that are not idempotent get a new connection each, and
// their body is sent only when the agent asks for it (100 Continue), which costs a round trip: an agent that stops closes
// connections that it has accepted but not read, and the outcome would otherwise be unknown.
func (e *Executor) Exec(ctx context.Context, address string, message *ferrypb.ExecRequest, body []byte) (*ExecStream, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, payload, err := newHTTPRequest(httptrace.WithClientTrace(ctx, trace), address, message, body)
	if err != nil {
		return nil, err
	}
	client := e.pooled
	if !message.GetIdempotent() {
		client = e.unpooled
		request.Header.Set("Expect", "100-continue")
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, sendError(err, connected.Load(), !payload.withdraw())
	}
	if response.StatusCode != http.StatusOK || response.Header.Get("Content-Type") != frame.ContentType {
		_ = response.Body.Close()
		outcome := failure.Unknown
		if payload.withdraw() {
			outcome = failure.NotRun
		}
		return nil, failure.New(failure.FrameMismatch, outcome, "agent answered without frames: status "+response.Status+", content type "+strconv.Quote(response.Header.Get("Content-Type")))
	}
	ident := frame.Ident{
		RequestID:   message.GetRequestId(),
		AttemptID:   message.GetAttemptId(),
		Incarnation: message.GetAgentIncarnation(),
	}
	return &ExecStream{Reader: frame.NewReader(response.Body, ident), body: response.Body}, nil
}

func newHTTPRequest(ctx context.Context, address string, message *ferrypb.ExecRequest, body []byte) (*http.Request, *requestBody, error) {
	message.BodyBytes = int64(len(body))
	var head bytes.Buffer
	if err := frame.WriteRequest(&head, message); err != nil {
		return nil, nil, failure.Wrap(failure.Internal, failure.NotRun, "cannot encode the exec request", err)
	}
	size := int64(head.Len() + len(body))
	payload := newRequestBody(io.MultiReader(&head, bytes.NewReader(body)))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+frame.Path, payload)
	if err != nil {
		return nil, nil, failure.Wrap(failure.Internal, failure.NotRun, "agent address is invalid: "+address, err)
	}
	request.ContentLength = size
	request.Header.Set("Content-Type", frame.ContentType)
	return request, payload, nil
}

func sendError(err error, connected, sent bool) error {
	if !connected {
		return failure.Wrap(failure.ConnectFailed, failure.NotRun, "cannot connect to the agent", err)
	}
	if !sent {
		return failure.Wrap(failure.ConnectFailed, failure.NotRun, "connection to the agent ended before the agent asked for the request", err)
	}
	return failure.Wrap(failure.ConnectionLost, failure.Unknown, "connection to the agent was lost", err)
}

// CloseIdle closes idle connections.
func (e *Executor) CloseIdle() {
	e.pooled.CloseIdleConnections()
	e.unpooled.CloseIdleConnections()
}
