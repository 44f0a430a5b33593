package oncehttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// closingServer responds to the first request on its first connection. It executes the second request there and closes
// the connection without a response. It responds to all requests on later connections.
type closingServer struct {
	listener net.Listener
	runs     atomic.Int32
	conns    atomic.Int32
}

func startClosingServer(t *testing.T) *closingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &closingServer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, s.conns.Add(1) == 1)
		}
	}()
	return s
}

func (s *closingServer) serve(conn net.Conn, closes bool) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if req.URL.Path == "/run" {
			s.runs.Add(1)
		}
		if closes && n == 2 {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

func (s *closingServer) url(path string) string {
	return "http://" + s.listener.Addr().String() + path
}

// openIdleConn sends one request, which leaves an idle connection in the pool of the client.
func (s *closingServer) openIdleConn(t *testing.T, client *http.Client) {
	t.Helper()
	resp, err := client.Get(s.url("/warm"))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

var retryCases = []struct{ method, body, key string }{
	{"POST", "", "k"}, {"POST", "x", "k"}, {"PUT", "", "k"}, {"DELETE", "", "k"}, {"DELETE", "x", "k"},
	{"PATCH", "x", "k"}, {"GET", "", ""}, {"GET", "", "k"}, {"POST", "x", ""}, {"POST", "", ""},
}

// Guards against a second execution of a request whose connection is lost after the server executed it: net/http
// automatically retries safe methods and requests with an Idempotency-Key on a new connection.
func TestNoSecondRunOnReusedConnection(t *testing.T) {
	for _, c := range retryCases {
		server := startClosingServer(t)
		client := NewClient()
		server.openIdleConn(t, client)
		header := http.Header{}
		if c.key != "" {
			header.Set("Idempotency-Key", c.key)
			header.Set("X-Idempotency-Key", c.key)
		}
		req := Request{Method: c.method, URL: server.url("/run"), Header: header, Body: []byte(c.body)}
		resp, err := New(client).Send(context.Background(), req)
		if err == nil {
			_ = resp.Body.Close()
			t.Errorf("%+v: status %d on a second connection, want a failure", c, resp.StatusCode)
			continue
		}
		if got := failure.From(err); got.Code != failure.ConnectionLost || got.Outcome != failure.Unknown {
			t.Errorf("%+v: error %v with outcome %s, want code %s with outcome %s", c, err, got.Outcome, failure.ConnectionLost, failure.Unknown)
		}
		if runs := server.runs.Load(); runs != 1 {
			t.Errorf("%+v: runs at the server: %d, want 1", c, runs)
		}
	}
}

// Guards against a closingServer that does not trigger the retry of net/http: TestNoSecondRunOnReusedConnection would
// then pass without testing anything.
func TestPlainClientRunsTwice(t *testing.T) {
	server := startClosingServer(t)
	client := NewClient()
	server.openIdleConn(t, client)
	req, err := http.NewRequest(http.MethodPost, server.url("/run"), strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", "k")
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if runs := server.runs.Load(); runs != 2 {
		t.Fatalf("runs at the server with a plain net/http client: %d, want 2", runs)
	}
}

// Guards against a followed redirect, which would send the request a second time.
func TestRedirectIsNotFollowed(t *testing.T) {
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		http.Redirect(w, r, "/other", http.StatusTemporaryRedirect)
	}))
	defer server.Close()
	resp, err := New(server.Client()).Send(context.Background(), Request{Method: http.MethodPost, URL: server.URL, Body: []byte("x")})
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusTemporaryRedirect || calls.Load() != 1 {
		t.Fatalf("status %d after %d calls, want status %d after 1 call", resp.StatusCode, calls.Load(), http.StatusTemporaryRedirect)
	}
}

// Guards against outcome not_run for a request that may have been sent, and against outcome unknown if no connection was
// made.
func TestOutcomes(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unresponsive.Close() }()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	tests := map[string]struct {
		ctx     context.Context
		url     string
		code    failure.Code
		outcome failure.Outcome
	}{
		"refused":                  {context.Background(), "http://" + closed.Addr().String(), failure.ConnectFailed, failure.NotRun},
		"no URL":                   {context.Background(), "http://%zz", failure.BadRequest, failure.NotRun},
		"cancelled before sending": {cancelled, "http://" + unresponsive.Addr().String(), failure.ClientCancelled, failure.NotRun},
		"no response":              {nil, "http://" + unresponsive.Addr().String(), failure.DeadlineExceeded, failure.Unknown},
	}
	for name, test := range tests {
		if test.ctx == nil {
			limited, stop := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer stop()
			test.ctx = limited
		}
		resp, err := New(nil).Send(test.ctx, Request{Method: http.MethodPost, URL: test.url})
		if err == nil {
			_ = resp.Body.Close()
		}
		if got := failure.From(err); err == nil || got.Code != test.code || got.Outcome != test.outcome {
			t.Errorf("%s: error %v with outcome %s, want code %s with outcome %s", name, err, got.Outcome, test.code, test.outcome)
		}
	}
}
