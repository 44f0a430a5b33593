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

// dyingServer answers the first request of its first connection, runs the second one there and closes the
// connection without an answer. Further connections are answered.
type dyingServer struct {
	listener net.Listener
	runs     atomic.Int32
	conns    atomic.Int32
}

func startDying(t *testing.T) *dyingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &dyingServer{listener: listener}
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

func (s *dyingServer) serve(conn net.Conn, dies bool) {
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
		if dies && n == 2 {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

func (s *dyingServer) url(path string) string {
	return "http://" + s.listener.Addr().String() + path
}

// warm makes the client keep one connection for reuse.
func (s *dyingServer) warm(t *testing.T, client *http.Client) {
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

// Guards against a second run of a request whose connection died after the server acted: net/http repeats
// requests with an Idempotency-Key and safe methods on a new connection by itself.
func TestNoSecondRunOnReusedConnection(t *testing.T) {
	for _, c := range retryCases {
		server := startDying(t)
		client := NewClient()
		server.warm(t, client)
		header := http.Header{}
		if c.key != "" {
			header.Set("Idempotency-Key", c.key)
			header.Set("X-Idempotency-Key", c.key)
		}
		req := Request{Method: c.method, URL: server.url("/run"), Header: header, Body: []byte(c.body)}
		resp, err := New(client).Send(context.Background(), req)
		if err == nil {
			_ = resp.Body.Close()
			t.Errorf("%+v: answered on a second connection", c)
			continue
		}
		if got := failure.From(err); got.Code != failure.ConnectionLost || got.Outcome != failure.Unknown {
			t.Errorf("%+v: got %v (%v)", c, err, got.Outcome)
		}
		if runs := server.runs.Load(); runs != 1 {
			t.Errorf("%+v: ran %d times", c, runs)
		}
	}
}

// Guards against a dying server that no longer provokes the retry of net/http, which would make the test above empty.
func TestPlainClientDoesRunTwice(t *testing.T) {
	server := startDying(t)
	client := NewClient()
	server.warm(t, client)
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
		t.Fatalf("ran %d times, want the two runs of net/http", runs)
	}
}

// Guards against a second request after a redirect, which would repeat the call elsewhere.
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
		t.Fatalf("got status %d after %d calls", resp.StatusCode, calls.Load())
	}
}

// Guards against an outcome not_run without evidence, and unknown where no connection was made.
func TestOutcomes(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	tests := map[string]struct {
		ctx     context.Context
		url     string
		code    failure.Code
		outcome failure.Outcome
	}{
		"refused":         {context.Background(), "http://" + closed.Addr().String(), failure.ConnectFailed, failure.NotRun},
		"no URL":          {context.Background(), "http://%zz", failure.BadRequest, failure.NotRun},
		"cancelled ahead": {ended, "http://" + silent.Addr().String(), failure.ClientCancelled, failure.NotRun},
		"no answer":       {nil, "http://" + silent.Addr().String(), failure.DeadlineExpired, failure.Unknown},
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
			t.Errorf("%s: got %v (%v), want %v (%v)", name, err, got.Outcome, test.code, test.outcome)
		}
	}
}
