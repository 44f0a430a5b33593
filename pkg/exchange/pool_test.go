package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// script serves the connections of a listener: one function for each request in turn, across connections.
func script(t *testing.T, steps ...func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	next := make(chan func(net.Conn, *bufio.Reader), len(steps))
	for _, s := range steps {
		next <- s
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for {
					if _, err := in.Peek(1); err != nil {
						return
					}
					select {
					case step := <-next:
						step(c, in)
					default:
						return
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func readAll(in *bufio.Reader) {
	req, err := http.ReadRequest(in)
	if err == nil {
		_, _ = io.Copy(io.Discard, req.Body)
	}
}

// answers reads a request and writes the text.
func answers(text string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, in *bufio.Reader) {
		readAll(in)
		_, _ = io.WriteString(c, text)
	}
}

// answersAndCloses also closes the connection.
func answersAndCloses(text string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, in *bufio.Reader) {
		answers(text)(c, in)
		_ = c.Close()
	}
}

func resets(c net.Conn, in *bufio.Reader) {
	readAll(in)
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func own(id string) func(http.Header) bool {
	return func(h http.Header) bool { return h.Get("Id") == id }
}

func request(id, body string) *Request {
	return &Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}, Body: []byte(body), Owns: own(id)}
}

func ok(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

// exchangeOnce sends a request and returns the body, or the failure of any part.
func exchangeOnce(t *testing.T, p *Pool, address string, req *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	resp, err := p.Send(ctx, address, req)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// Guards against a wrong statement of whether a request ran, for every way in which an exchange fails.
func TestOutcomeOfFailedExchange(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	cases := []struct {
		name    string
		address string
		want    failure.Outcome
		code    failure.Code
	}{
		{"no listener", closed.Addr().String(), failure.NotRun, failure.ConnectFailed},
		{"reset after the request", script(t, resets), failure.Unknown, failure.ConnectionLost},
		{"no HTTP", script(t, answersAndCloses("garbage\r\n\r\n")), failure.Unknown, failure.ConnectionLost},
		{"head cut", script(t, answersAndCloses("HTTP/1.1 200 OK\r\nContent-")), failure.Unknown, failure.ConnectionLost},
		{"body cut", script(t, answersAndCloses("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nabc")), failure.Unknown, failure.Truncated},
		{"chunk cut", script(t, answersAndCloses("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab")), failure.Unknown, failure.Truncated},
		{"unframed body reset", script(t, func(c net.Conn, in *bufio.Reader) {
			readAll(in)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\n\r\nabc")
			time.Sleep(50 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}), failure.Unknown, failure.Truncated},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := exchangeOnce(t, NewPool(), c.address, request("a", "body"))
			if f := failure.From(err); err == nil || f.Outcome != c.want || f.Code != c.code {
				t.Errorf("got %v (%v), want %v %v", err, failure.From(err).Outcome, c.code, c.want)
			}
		})
	}
}

// Guards against an answer that is given to another request: a server may send a second answer late, at the point
// where the answer to the next request is expected.
func TestLateAnswerOfEarlierRequestIsSkipped(t *testing.T) {
	p := NewPool()
	address := script(t,
		answers(ok("a", "one")),
		answers(ok("a", "late")+ok("b", "two")),
	)
	for _, want := range []struct{ id, body string }{{"a", "one"}, {"b", "two"}} {
		if body, err := exchangeOnce(t, p, address, request(want.id, "x")); err != nil || body != want.body {
			t.Errorf("request %s got %q, %v", want.id, body, err)
		}
	}
	if p.Opened() != 1 {
		t.Errorf("%d connections opened, want one", p.Opened())
	}
}

// Guards against a connection that is used again although bytes of no request wait on it.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	p := NewPool()
	address := script(t, answers(ok("a", "one")+ok("a", "two")), answers(ok("b", "three")))
	if _, err := exchangeOnce(t, p, address, request("a", "x")); err != nil {
		t.Fatal(err)
	}
	if body, err := exchangeOnce(t, p, address, request("b", "x")); err != nil || body != "three" {
		t.Errorf("second request got %q, %v", body, err)
	}
	if p.Opened() != 2 {
		t.Errorf("%d connections opened, want two", p.Opened())
	}
}

// Guards against a late answer that has no length: it cannot be told from the answer that follows it.
func TestUnframedLateAnswerFailsTheRequest(t *testing.T) {
	address := script(t, answersAndCloses("HTTP/1.1 200 OK\r\nId: other\r\n\r\nrest of nobody"))
	_, err := exchangeOnce(t, NewPool(), address, request("a", "x"))
	if !failure.HasCode(err, failure.FrameMismatch) {
		t.Errorf("got %v", err)
	}
}

// Guards against other bytes where a server that answered early still reads the rest of a long body.
func TestEarlyAnswerToLongBodyClosesTheConnection(t *testing.T) {
	p := NewPool()
	release := make(chan struct{})
	address := script(t, func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		_, _ = io.WriteString(c, ok("a", "early"))
		<-release
		_ = c.Close()
		runtime.Goexit()
	}, answers(ok("b", "two")))
	long := strings.Repeat("x", 32<<20)
	if body, err := exchangeOnce(t, p, address, request("a", long)); err != nil || body != "early" {
		t.Fatalf("got %q, %v", body, err)
	}
	close(release)
	if body, err := exchangeOnce(t, p, address, request("b", "x")); err != nil || body != "two" {
		t.Errorf("second request got %q, %v", body, err)
	}
	if p.Opened() != 2 {
		t.Errorf("%d connections opened, want two", p.Opened())
	}
}

// Guards against a request that is sent twice: a reused connection that breaks says nothing about whether it ran.
func TestRequestIsNeverRepeatedOnAnotherConnection(t *testing.T) {
	p := NewPool()
	address := script(t, answers(ok("a", "one")), resets, answers(ok("b", "must not be reached")))
	if _, err := exchangeOnce(t, p, address, request("a", "x")); err != nil {
		t.Fatal(err)
	}
	_, err := exchangeOnce(t, p, address, request("b", "x"))
	if f := failure.From(err); err == nil || f.Outcome != failure.Unknown {
		t.Errorf("got %v", err)
	}
	if p.Opened() != 1 {
		t.Errorf("%d connections opened, want one", p.Opened())
	}
}

// Guards against a hanging server that keeps its request past the deadline or the caller's departure.
func TestContextEndsExchange(t *testing.T) {
	address := script(t, func(net.Conn, *bufio.Reader) { time.Sleep(3 * time.Second) })
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := NewPool().Send(ctx, address, request("a", "x"))
	if !failure.HasCode(err, failure.DeadlineExpired) || failure.From(err).Outcome != failure.Unknown {
		t.Errorf("got %v", err)
	}
}

// Guards against idle connections that are kept beyond the time the server states.
func TestSweepClosesIdleConnections(t *testing.T) {
	p := NewPool()
	address := script(t, answers("HTTP/1.1 200 OK\r\nId: a\r\nKeep-Alive: timeout=3\r\nContent-Length: 0\r\n\r\n"))
	if _, err := exchangeOnce(t, p, address, request("a", "x")); err != nil {
		t.Fatal(err)
	}
	p.Sweep(time.Now().Add(time.Second))
	if p.Open() != 1 {
		t.Fatal("the connection was closed too early")
	}
	p.Sweep(time.Now().Add(2500 * time.Millisecond))
	if p.Open() != 0 {
		t.Error("the connection is still open")
	}
}
