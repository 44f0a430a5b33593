package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// smallBuffers makes the kernel hold little that a server has not read. Buffers may otherwise grow to tens of megabytes.
var smallBuffers = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10) })
}}

// longBody exceeds the socket buffers of the client and of a server of smallBuffers.
var longBody = strings.Repeat("x", 12<<20)

// earlyResponse returns a step that writes text while the request is still being written, waits until its client is blocked
// in the write, and ends the connection.
func earlyResponse(text string, end func(*net.TCPConn)) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		_, _ = io.WriteString(c, text)
		time.Sleep(50 * time.Millisecond)
		end(c.(*net.TCPConn))
	}
}

// readEarlyResponse sends a long request to a server that handles it by the step, and reads the body of its response after
// the given time. If the connection ends before, the kernel reports that to the write first.
func readEarlyResponse(t *testing.T, step func(net.Conn, *bufio.Reader), after time.Duration) (string, error) {
	t.Helper()
	listener, err := smallBuffers.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := serveScriptOn(t, listener, step)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	resp, err := NewPool().Send(ctx, address, request("a", longBody))
	if err != nil {
		return "", err
	}
	defer resp.Close()
	time.Sleep(after)
	body, err := io.ReadAll(resp)
	return string(body), err
}

// Guards against a part of a body that passes for the whole one: a server in trouble responds to a long request at once
// without a length and resets the connection while the request is still being written. The kernel reports the reset to the
// write and the end of the connection to the read.
func TestUnframedBodyResetDuringTheRequestIsCutOff(t *testing.T) {
	reset := func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	for name, end := range map[string]func(*net.TCPConn){
		"reset":                    reset,
		"closed with unread bytes": func(c *net.TCPConn) { _ = c.Close() },
		"reset while the body arrives": func(c *net.TCPConn) {
			_, _ = io.WriteString(c, strings.Repeat("p", 1000))
			reset(c)
		},
	} {
		for _, after := range []time.Duration{0, 200 * time.Millisecond} {
			body, err := readEarlyResponse(t, earlyResponse("HTTP/1.1 200 OK\r\nId: a\r\n\r\npart", end), after)
			if f := failure.From(err); err == nil || f.Code != failure.Truncated || f.Outcome != failure.Unknown {
				t.Errorf("%s, read after %v: %d bytes, error %v, want code %s and outcome %s", name, after, len(body), err, failure.Truncated, failure.Unknown)
			}
		}
	}
}

// Guards against a failure for an early response that is whole, whatever becomes of the rest of the request.
func TestWholeEarlyResponseIsReceived(t *testing.T) {
	const unframed, framed = "HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nwhole"
	readOn := make(chan struct{})
	t.Cleanup(func() { close(readOn) })
	for name, c := range map[string]struct {
		text string
		end  func(*net.TCPConn)
	}{
		"no length, rest not read": {unframed, func(c *net.TCPConn) {
			_ = c.CloseWrite()
			<-readOn
		}},
		"no length, rest read": {unframed, func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}},
		"no length, then reset": {unframed, func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_ = c.SetLinger(0)
			_ = c.Close()
		}},
		"length, then reset": {framed, func(c *net.TCPConn) {
			_ = c.SetLinger(0)
			_ = c.Close()
		}},
	} {
		for _, after := range []time.Duration{0, 200 * time.Millisecond} {
			body, err := readEarlyResponse(t, earlyResponse(c.text, c.end), after)
			if err != nil || body != "whole" {
				t.Errorf("%s, read after %v: response %q, error %v, want the whole body", name, after, body, err)
			}
		}
	}
}

// Guards against a connection that is kept after a response to HEAD, which states no length either, and cannot be written to
// any more.
func TestConnectionIsUsedAgainAfterHead(t *testing.T) {
	p := NewPool()
	address := serveScript(t, respond("HTTP/1.1 200 OK\r\nId: a\r\n\r\n"), respond(okResponse("b", "two")))
	head := request("a", "")
	head.Method = http.MethodHead
	if body, err := exchangeOnce(t, p, address, head); err != nil || body != "" {
		t.Fatalf("response to HEAD: %q, error %v, want no body", body, err)
	}
	if body, err := exchangeOnce(t, p, address, request("b", "x")); err != nil || body != "two" || p.TotalOpened() != 1 {
		t.Errorf("next response: %q, error %v, after %d connections, want two on the same connection", body, err, p.TotalOpened())
	}
}
