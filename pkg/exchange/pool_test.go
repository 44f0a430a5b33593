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

// serveScript starts a server and returns its address. The nth request, on whichever connection, is handled by the nth
// step; a request after the last step closes its connection.
func serveScript(t *testing.T, steps ...func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serveScriptOn(t, listener, steps...)
}

// serveScriptOn is serveScript with a listener, which it closes.
func serveScriptOn(t *testing.T, listener net.Listener, steps ...func(net.Conn, *bufio.Reader)) string {
	t.Helper()
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

// respond returns a step that reads a request and writes text.
func respond(text string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, in *bufio.Reader) {
		readAll(in)
		_, _ = io.WriteString(c, text)
	}
}

// respondAndClose returns a step that reads a request, writes text and closes the connection.
func respondAndClose(text string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, in *bufio.Reader) {
		respond(text)(c, in)
		_ = c.Close()
	}
}

// reset reads a request and resets the connection.
func reset(c net.Conn, in *bufio.Reader) {
	readAll(in)
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func hasID(id string) func(http.Header) bool {
	return func(h http.Header) bool { return h.Get("Id") == id }
}

func request(id, body string) *Request {
	return &Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}, Body: []byte(body), Matches: hasID(id)}
}

func okResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

// exchangeOnce sends a request and returns the response body, or the error of the request or the body.
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

// Guards against a failure with the wrong outcome, for every way in which an exchange can fail: a request that may have
// been executed must not be reported as NotRun.
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
		{"reset after the request", serveScript(t, reset), failure.Unknown, failure.ConnectionLost},
		{"no HTTP", serveScript(t, respondAndClose("garbage\r\n\r\n")), failure.Unknown, failure.ConnectionLost},
		{"head cut", serveScript(t, respondAndClose("HTTP/1.1 200 OK\r\nContent-")), failure.Unknown, failure.ConnectionLost},
		{"body cut", serveScript(t, respondAndClose("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nabc")), failure.Unknown, failure.Truncated},
		{"chunk cut", serveScript(t, respondAndClose("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab")), failure.Unknown, failure.Truncated},
		{"unframed body reset", serveScript(t, func(c net.Conn, in *bufio.Reader) {
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
				t.Errorf("error %v with outcome %v, want code %v and outcome %v", err, failure.From(err).Outcome, c.code, c.want)
			}
		})
	}
}

// Guards against returning a response to the wrong request: a server may send a second response late, at the point
// where the response to the next request is expected.
func TestLateAnswerOfEarlierRequestIsSkipped(t *testing.T) {
	p := NewPool()
	address := serveScript(t,
		respond(okResponse("a", "one")),
		respond(okResponse("a", "late")+okResponse("b", "two")),
	)
	for _, want := range []struct{ id, body string }{{"a", "one"}, {"b", "two"}} {
		if body, err := exchangeOnce(t, p, address, request(want.id, "x")); err != nil || body != want.body {
			t.Errorf("response to request %s: %q, %v, want %q", want.id, body, err, want.body)
		}
	}
	if p.TotalOpened() != 1 {
		t.Errorf("%d connections opened, want one", p.TotalOpened())
	}
}

// Guards against reusing an idle connection on which bytes have arrived that belong to no request.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	p := NewPool()
	address := serveScript(t, respond(okResponse("a", "one")+okResponse("a", "two")), respond(okResponse("b", "three")))
	if _, err := exchangeOnce(t, p, address, request("a", "x")); err != nil {
		t.Fatal(err)
	}
	if body, err := exchangeOnce(t, p, address, request("b", "x")); err != nil || body != "three" {
		t.Errorf("response to the second request: %q, %v, want three", body, err)
	}
	if p.TotalOpened() != 2 {
		t.Errorf("%d connections opened, want two", p.TotalOpened())
	}
}

// Guards against skipping a stale response without a length: its end cannot be distinguished from the response that
// follows it.
func TestUnframedLateAnswerFailsTheRequest(t *testing.T) {
	address := serveScript(t, respondAndClose("HTTP/1.1 200 OK\r\nId: other\r\n\r\nrest of nobody"))
	_, err := exchangeOnce(t, NewPool(), address, request("a", "x"))
	if !failure.HasCode(err, failure.FrameMismatch) {
		t.Errorf("error after a stale response without a length: %v, want code %s", err, failure.FrameMismatch)
	}
}

// Guards against reusing a connection whose server responded early and still reads the rest of a long body: it would
// take the next request for a part of that body.
func TestEarlyAnswerToLongBodyClosesTheConnection(t *testing.T) {
	p := NewPool()
	release := make(chan struct{})
	address := serveScript(t, func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		_, _ = io.WriteString(c, okResponse("a", "early"))
		<-release
		_ = c.Close()
		runtime.Goexit()
	}, respond(okResponse("b", "two")))
	long := strings.Repeat("x", 32<<20)
	if body, err := exchangeOnce(t, p, address, request("a", long)); err != nil || body != "early" {
		t.Fatalf("response to the long request: %q, %v, want early", body, err)
	}
	close(release)
	if body, err := exchangeOnce(t, p, address, request("b", "x")); err != nil || body != "two" {
		t.Errorf("response to the second request: %q, %v, want two", body, err)
	}
	if p.TotalOpened() != 2 {
		t.Errorf("%d connections opened, want two", p.TotalOpened())
	}
}

// Guards against a request that is sent twice: when a reused connection breaks, the request may have been executed.
func TestRequestIsNeverRetriedOnAnotherConnection(t *testing.T) {
	p := NewPool()
	address := serveScript(t, respond(okResponse("a", "one")), reset, respond(okResponse("b", "must not be reached")))
	if _, err := exchangeOnce(t, p, address, request("a", "x")); err != nil {
		t.Fatal(err)
	}
	_, err := exchangeOnce(t, p, address, request("b", "x"))
	if f := failure.From(err); err == nil || f.Outcome != failure.Unknown {
		t.Errorf("error after a reset of the reused connection: %v, want outcome %s", err, failure.Unknown)
	}
	if p.TotalOpened() != 1 {
		t.Errorf("%d connections opened, want one", p.TotalOpened())
	}
}

// Guards against a hanging server that holds up a request beyond the end of its context.
func TestContextEndsExchange(t *testing.T) {
	address := serveScript(t, func(net.Conn, *bufio.Reader) { time.Sleep(3 * time.Second) })
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := NewPool().Send(ctx, address, request("a", "x"))
	if !failure.HasCode(err, failure.DeadlineExceeded) || failure.From(err).Outcome != failure.Unknown {
		t.Errorf("error after the deadline: %v, want code %s and outcome %s", err, failure.DeadlineExceeded, failure.Unknown)
	}
}

// Guards against keeping idle connections longer than the server's keep-alive timeout.
func TestSweepClosesIdleConnections(t *testing.T) {
	p := NewPool()
	address := serveScript(t, respond("HTTP/1.1 200 OK\r\nId: a\r\nKeep-Alive: timeout=3\r\nContent-Length: 0\r\n\r\n"))
	if _, err := exchangeOnce(t, p, address, request("a", "x")); err != nil {
		t.Fatal(err)
	}
	p.CloseExpired(time.Now().Add(time.Second))
	if p.OpenConns() != 1 {
		t.Fatalf("open connections after 1 s of a keep-alive timeout of 3 s: %d, want 1", p.OpenConns())
	}
	p.CloseExpired(time.Now().Add(2500 * time.Millisecond))
	if p.OpenConns() != 0 {
		t.Errorf("open connections after 2.5 s of a keep-alive timeout of 3 s: %d, want 0", p.OpenConns())
	}
}

// Guards against a pool that keeps more idle connections to a server than this daemon's share of those that the server
// accepts.
func TestIdleConnectionsAreBoundedByRequest(t *testing.T) {
	const burst, maxIdle = 10, 3
	together := make(chan struct{}, burst)
	release := make(chan struct{})
	step := func(c net.Conn, _ *bufio.Reader) {
		together <- struct{}{}
		<-release
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
	steps := make([]func(net.Conn, *bufio.Reader), burst)
	for i := range steps {
		steps[i] = step
	}
	address := serveScript(t, steps...)
	pool := NewPool()
	done := make(chan error, burst)
	for range burst {
		go func() {
			resp, err := pool.Send(t.Context(), address, &Request{Method: http.MethodGet, Target: "/", Host: "h", MaxIdle: maxIdle})
			if err == nil {
				_, err = io.Copy(io.Discard, resp)
				resp.Close()
			}
			done <- err
		}()
	}
	for range burst {
		<-together
	}
	close(release)
	for range burst {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	if n := pool.OpenConns(); n != maxIdle {
		t.Errorf("connections kept after %d requests at once: %d, want %d", burst, n, maxIdle)
	}
}
