package entry

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/frame"
)

// maxIdlePerAgent bounds the kept connections to one agent.
const maxIdlePerAgent = 32

// Executor sends exec calls to agents.
type Executor struct {
	shared *http.Client
	fresh  *http.Client
}

// NewExecutor returns an executor that waits up to connectTimeout for a connection.
func NewExecutor(connectTimeout, idleTimeout time.Duration) *Executor {
	dialer := &net.Dialer{Timeout: connectTimeout}
	shared := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerAgent,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	fresh := shared.Clone()
	fresh.DisableKeepAlives = true
	return &Executor{shared: execClient(shared), fresh: execClient(fresh)}
}

func execClient(transport *http.Transport) *http.Client {
	stay := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: transport, CheckRedirect: stay}
}

// Answer is the open answer of an exec call.
type Answer struct {
	*frame.Reader
	body io.ReadCloser
}

// Close ends the call. Unless the answer was read to its end, that closes the connection,
// which tells the agent to cancel.
func (a *Answer) Close() {
	a.Drained()
	_ = a.body.Close()
}

// Exec sends the request. A failure has outcome NotRun only if no connection was made.
// Work that must not be repeated gets a connection of its own: an idle connection that the agent is just closing
// would leave the outcome unknown.
func (e *Executor) Exec(ctx context.Context, address string, message *ferrypb.ExecRequest, body []byte) (*Answer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := execRequest(httptrace.WithClientTrace(ctx, trace), address, message, body)
	if err != nil {
		return nil, err
	}
	client := e.shared
	if !message.GetIdempotent() {
		client = e.fresh
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, sendFailure(err, connected.Load())
	}
	if response.StatusCode != http.StatusOK || response.Header.Get("Content-Type") != frame.ContentType {
		_ = response.Body.Close()
		return nil, failure.New(failure.FrameMismatch, failure.Unknown, "agent answered without frames: "+response.Status)
	}
	ident := frame.Ident{
		RequestID:   message.GetRequestId(),
		AttemptID:   message.GetAttemptId(),
		Incarnation: message.GetAgentIncarnation(),
	}
	return &Answer{Reader: frame.NewReader(response.Body, ident), body: response.Body}, nil
}

func execRequest(ctx context.Context, address string, message *ferrypb.ExecRequest, body []byte) (*http.Request, error) {
	message.BodyBytes = int64(len(body))
	var head bytes.Buffer
	if err := frame.WriteRequest(&head, message); err != nil {
		return nil, failure.Wrap(failure.Internal, failure.NotRun, "exec request does not encode", err)
	}
	payload := io.MultiReader(&head, bytes.NewReader(body))
	size := int64(head.Len() + len(body))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+frame.Path, payload)
	if err != nil {
		return nil, failure.Wrap(failure.Internal, failure.NotRun, "agent address is invalid", err)
	}
	request.ContentLength = size
	request.Header.Set("Content-Type", frame.ContentType)
	return request, nil
}

func sendFailure(err error, connected bool) error {
	if !connected {
		return failure.Wrap(failure.ConnectFailed, failure.NotRun, "no connection to the agent", err)
	}
	return failure.Wrap(failure.ConnectionLost, failure.Unknown, "connection to the agent was lost", err)
}

// CloseIdle closes unused connections.
func (e *Executor) CloseIdle() {
	e.shared.CloseIdleConnections()
	e.fresh.CloseIdleConnections()
}
