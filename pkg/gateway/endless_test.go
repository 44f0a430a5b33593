package gateway

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/exchange"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/serverlimit"
	"trefoilferry.example/ferry/pkg/verdict"
)

// repeatReader returns the same bytes without end.
type repeatReader struct{}

func (repeatReader) Read(p []byte) (int, error) { return len(p), nil }

// serveRaw starts a server that reads each request and writes head, and then part every pause until the connection is
// closed. It returns its address.
func serveRaw(t *testing.T, head, part string, pause time.Duration) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, head)
				for {
					if _, err := io.WriteString(c, part); err != nil {
						return
					}
					time.Sleep(pause)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func sendTo(ctx context.Context, t *testing.T, address string) *exchange.Response {
	t.Helper()
	resp, err := exchange.NewPool().Send(ctx, address, &exchange.Request{Method: "POST", Target: "/x", Host: "h", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	return resp
}

// Load pattern: servers in trouble send bodies without end to many requests at once. Guards against bodies that fill
// the memory of the process together although each of them is bounded.
func TestEndlessBodiesShareABound(t *testing.T) {
	const bodies = 24
	budget := &bufferBudget{}
	var work sync.WaitGroup
	for range bodies {
		work.Go(func() {
			_, reserved, err := budget.readAll(repeatReader{})
			if !failure.HasCode(err, failure.BodyTooLarge) || failure.From(err).Outcome != failure.Ran {
				t.Errorf("error of a body without end: %v, want code %s and outcome %s", err, failure.BodyTooLarge, failure.Ran)
			}
			if reserved > maxBufferedBytes+bufferStep {
				t.Errorf("one body reserved %d bytes, want at most %d", reserved, maxBufferedBytes+bufferStep)
			}
			if used := budget.used.Load(); used > maxBufferedTotal+bodies*bufferStep {
				t.Errorf("reserved at once: %d bytes, want at most %d", used, maxBufferedTotal)
			}
			budget.release(reserved)
		})
	}
	work.Wait()
	if used := budget.used.Load(); used != 0 {
		t.Errorf("reserved after all bodies: %d bytes, want 0", used)
	}
	body, reserved, err := budget.readAll(strings.NewReader("whole"))
	if string(body) != "whole" || err != nil || reserved != bufferStep {
		t.Errorf("body after the others: %q, %d reserved, %v, want it whole", body, reserved, err)
	}
}

// Guards against reading a body without end that no backend server signed, and against a refusal whose body holds up
// the retry until the deadline.
func TestBodiesThatAreNoAnswerAreNotRead(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	address := serveRaw(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", time.Millisecond)
	began := time.Now()
	a := readFullResponse(sendTo(ctx, t, address), verdict.Judge(verdict.Response{Status: http.StatusOK}), &bufferBudget{})
	if a.fail == nil || a.fail.Code != failure.FrameMismatch || a.fail.Outcome != failure.Unknown || time.Since(began) > time.Second {
		t.Errorf("unsigned body without end: %v after %v, want code %s at once", a.fail, time.Since(began), failure.FrameMismatch)
	}

	address = serveRaw(t, "HTTP/1.1 503 Unavailable\r\nRefused: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", time.Millisecond)
	j, c := modelJob("id", "", 10, 10), &choice{}
	j.deadline = time.Now().Add(5 * time.Second)
	j.method, j.target, j.host, j.header = "POST", "/x", "h", http.Header{}
	c.server.ID, c.server.Address = "r0", address
	b := &backend{pool: exchange.NewPool(), codec: refusingCodec{}, tracker: NewTracker(), limits: serverlimit.NewTable(rand.Float64), log: eventlog.Discard()}
	began = time.Now()
	_, _, _, fail := b.send(ctx, j, c, "")
	if fail == nil || fail.Outcome != failure.NotRun || time.Since(began) > time.Second {
		t.Errorf("refusal with a body without end: %v after %v, want outcome %s at once", fail, time.Since(began), failure.NotRun)
	}
	if open := b.pool.OpenConns(); open != 0 {
		t.Errorf("open connections after the refusal: %d, want 0", open)
	}
}

// refusingCodec takes the header Refused for the declaration that the request was not executed.
type refusingCodec struct{ Codec }

func (refusingCodec) AttemptHeader(h http.Header, _ AttemptMeta) http.Header { return h }

func (refusingCodec) DecodeResponse(_ int, h http.Header) ResponseMeta {
	return ResponseMeta{Head: verdict.Response{Status: http.StatusServiceUnavailable, Declared: h.Get("Refused") != ""}}
}

// plainCodec passes response headers on unchanged.
type plainCodec struct{ Codec }

func (plainCodec) ResponseHeader(h http.Header) http.Header { return h }

// Guards against a stalled stream that never ends because its server sends comments or single bytes now and then, and
// against a slow stream that is cut although its events keep coming.
func TestOnlyEventsShowProgressOfAStream(t *testing.T) {
	const stall = 300 * time.Millisecond
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("id: 1\ndata: a\n\n")
	for name, c := range map[string]struct {
		part  string
		pause time.Duration
		cut   bool
	}{
		"comments":          {chunk(": ping\n\n"), 50 * time.Millisecond, true},
		"empty events":      {chunk("\n\n"), 50 * time.Millisecond, true},
		"bytes of an event": {chunk("x"), 50 * time.Millisecond, true},
		"slow sound stream": {chunk("data: b\n\n"), 200 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			deadline, cancelDeadline := context.WithTimeout(context.Background(), 5*stall)
			defer cancelDeadline()
			ctx, cancel := context.WithCancelCause(deadline)
			defer cancel(nil)
			relay := &streamRelay{w: httptest.NewRecorder(), codec: plainCodec{}}
			resp := sendTo(ctx, t, serveRaw(t, head, c.part, c.pause))
			defer resp.Close()
			watch := newSilenceWatch(time.Minute, cancel, func(silence) *choice { return &choice{} })
			fail := relay.run(ctx, resp, watch, stall, func() {})
			if cut := fail != nil && fail.Code == failure.Truncated && deadline.Err() == nil; cut != c.cut {
				t.Errorf("stream cut as stalled before the deadline: %v (%v), want %v", cut, fail, c.cut)
			}
		})
	}
}

// chunk returns the text as a chunk of a chunked body.
func chunk(text string) string {
	const hex = "0123456789abcdef"
	return string([]byte{hex[len(text)/16], hex[len(text)%16]}) + "\r\n" + text + "\r\n"
}
