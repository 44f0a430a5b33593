package entry

import (
	"bufio"
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
)

// shutDownAtFirstConnection makes the agent's HTTP server shut down between its accept of the first connection and its
// read of the request on it. net/http then closes the connection without a response. It returns a channel that is closed
// at the shutdown.
func shutDownAtFirstConnection(a *fakeAgent) <-chan struct{} {
	handler := a.server.Config.Handler
	a.server.Close()
	server := httptest.NewUnstartedServer(handler)
	shuttingDown := make(chan struct{})
	server.Config.RegisterOnShutdown(func() { close(shuttingDown) })
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		go func() { _ = server.Config.Shutdown(context.Background()) }()
		<-shuttingDown
		return ctx
	}
	server.Start()
	a.server = server
	return shuttingDown
}

// Guards against a call that is reported as lost, although the agent that stopped at the same moment has not read it: a
// call that may run only once would fail instead of running on another runner.
func TestCallAtAgentThatStopsRunsElsewhere(t *testing.T) {
	stopping := newFakeAgent(t, "stopping", 0, answerService)
	stopped := shutDownAtFirstConnection(stopping)
	t.Cleanup(stopping.server.Close)
	other := newFakeAgent(t, "other", 0, answerService)
	f := newFixture(t, nil, stopping, other)
	// The runner is chosen at random, so that the first calls may miss the stopping one.
	for range 100 {
		response, body := f.call(t, "POST", "/services/booking/seats", "payload")
		if response.StatusCode != 201 || body != "POST /seats payload" {
			t.Fatalf("call: status %d, outcome %s, body %s, want 201 and the response of the service", response.StatusCode, response.Header.Get(headerOutcome), body)
		}
		select {
		case <-stopped:
			if stopping.count() != 0 {
				t.Fatalf("calls at the stopping runner: %d, want 0", stopping.count())
			}
			return
		default:
		}
	}
	t.Fatal("no call reached the stopping runner")
}

// rawAgent accepts one connection and reads the header of the request on it. It then sends interim, reads bodyBytes bytes
// of the body, sends final and closes the connection.
func rawAgent(t *testing.T, interim string, bodyBytes int, final string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		for line := "-"; line != "\r\n"; {
			if line, err = in.ReadString('\n'); err != nil {
				return
			}
		}
		_, _ = conn.Write([]byte(interim))
		_, _ = in.Discard(bodyBytes)
		_, _ = conn.Write([]byte(final))
	}()
	return l.Addr().String()
}

// unacceptedListener has a full handshake for each dial and closes the connections after a moment without accepting them.
func unacceptedListener(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(100*time.Millisecond, func() { _ = l.Close() })
	return l.Addr().String()
}

// Guards against outcome not_run for a call of which the agent may have a part, and against outcome unknown for a call
// of which it has nothing.
func TestOutcomeOfLostCall(t *testing.T) {
	const asks = "HTTP/1.1 100 Continue\r\n\r\n"
	const other = "HTTP/1.1 503 Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	for name, test := range map[string]struct {
		address string
		code    failure.Code
		outcome failure.Outcome
	}{
		"closed before the agent asks for the body": {rawAgent(t, "", 0, ""), failure.ConnectFailed, failure.NotRun},
		"closed after a byte of the body":           {rawAgent(t, asks, 1, ""), failure.ConnectionLost, failure.Unknown},
		"reset before the agent accepts it":         {unacceptedListener(t), failure.ConnectFailed, failure.NotRun},
		"silent until the deadline":                 {rawAgent(t, "", 1<<20, ""), failure.ConnectFailed, failure.NotRun},
		"other response before the body":            {rawAgent(t, "", 0, other), failure.FrameMismatch, failure.NotRun},
		"other response after the body":             {rawAgent(t, asks, 1, other), failure.FrameMismatch, failure.Unknown},
		"status that HTTP does not have":            {rawAgent(t, asks, 1, strings.Replace(other, "503", "000", 1)), failure.FrameMismatch, failure.Unknown},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		message := &ferrypb.ExecRequest{RequestId: "q", AttemptId: "1", Kind: ferrypb.RequestKind_REQUEST_KIND_SERVICE}
		stream, err := NewExecutor(time.Second, time.Minute).Exec(ctx, test.address, message, []byte("payload"))
		if err == nil {
			stream.Close()
		}
		if got := failure.From(err); err == nil || got.Code != test.code || got.Outcome != test.outcome {
			t.Errorf("%s: error %v, want code %s and outcome %s", name, err, test.code, test.outcome)
		}
		cancel()
	}
}

// Guards against a body that is sent after its call was reported as not run.
func TestWithdrawnBodyIsNotSent(t *testing.T) {
	body := newRequestBody(strings.NewReader("payload"))
	if !body.withdraw() {
		t.Fatal("unread body: want it withdrawn")
	}
	if n, err := body.Read(make([]byte, 4)); n != 0 || err == nil {
		t.Fatalf("read of a withdrawn body: %d bytes and error %v, want none and an error", n, err)
	}
	body = newRequestBody(strings.NewReader("payload"))
	if _, err := body.Read(make([]byte, 4)); err != nil || body.withdraw() {
		t.Fatalf("body read in part, error %v: want it not withdrawn", err)
	}
}
