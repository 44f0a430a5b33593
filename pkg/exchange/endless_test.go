package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// endless returns a step that reads a request, writes start and then repeats part until the connection is closed. It
// adds the bytes that it wrote to written and signals closed when a write has failed.
func endless(start, part string, written *atomic.Int64, closed chan<- struct{}) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, in *bufio.Reader) {
		readAll(in)
		_, _ = io.WriteString(c, start)
		block := []byte(strings.Repeat(part, 1+16384/len(part)))
		for {
			n, err := c.Write(block)
			written.Add(int64(n))
			if err != nil {
				closed <- struct{}{}
				return
			}
		}
	}
}

// Guards against a server in trouble that sends bytes without end where the head of a response is due: they filled the
// memory of the whole process (1.2 GB in 1.3 s) until the deadline of the request.
func TestEndlessHeadFailsTheRequest(t *testing.T) {
	// maxWritten covers the socket buffers of both ends.
	const maxWritten = 32 << 20
	for name, text := range map[string]struct{ start, part string }{
		"status line":               {"HTTP/1.1 200 ", "x"},
		"no status line":            {"", "\x00\xff"},
		"one header":                {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"many headers":              {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"many informational fields": {"HTTP/1.1 103 Early Hints\r\n", "X: y\r\n"},
		"informational responses":   {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"informational with fields": {"", "HTTP/1.1 100 Continue\r\nX: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n\r\n"},
		"stale responses":           {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"},
		"stale response body":       {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			closed := make(chan struct{}, 1)
			address := serveScript(t, endless(text.start, text.part, &written, closed))
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			p := NewPool()
			_, err := p.Send(ctx, address, request("a", "x"))
			f := failure.From(err)
			if err == nil || ctx.Err() != nil || f.Outcome != failure.Unknown || f.Code == failure.DeadlineExceeded {
				t.Fatalf("error %v with outcome %v, want a failure with outcome %v before the deadline", err, f.Outcome, failure.Unknown)
			}
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Fatal("the connection is still open 5 s after the failure")
			}
			if n := written.Load(); n > maxWritten {
				t.Errorf("the server wrote %d bytes, want at most %d", n, maxWritten)
			}
			if p.OpenConns() != 0 {
				t.Errorf("open connections: %d, want 0", p.OpenConns())
			}
		})
	}
}

// Guards against bytes without end between the chunks of a body or after its last chunk.
func TestEndlessChunkFramingFailsTheBody(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, text := range map[string]struct{ start, part string }{
		"chunk size":      {head, "0"},
		"chunk extension": {head + "5;x=", "y"},
		"trailer":         {head + "0\r\nX: ", "y"},
		"many trailers":   {head + "0\r\n", "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			closed := make(chan struct{}, 1)
			address := serveScript(t, endless(text.start, text.part, &written, closed))
			body, err := exchangeOnce(t, NewPool(), address, request("a", "x"))
			if f := failure.From(err); err == nil || f.Code != failure.Truncated || f.Outcome != failure.Unknown {
				t.Errorf("error %v after %d bytes of the body, want code %s and outcome %s", err, len(body), failure.Truncated, failure.Unknown)
			}
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Error("the connection is still open 5 s after the failure")
			}
		})
	}
}
