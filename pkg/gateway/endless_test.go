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
	"testing"
	"testing/iotest"
	"time"

	"trefoilferry.example/ferry/pkg/bytebudget"
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

// Load pattern: 150 streams get an event without end at the same time. Guards against events that fill the memory of the
// process together although each of them is bounded, and against a sound stream beside them that is cut.
func TestEndlessEventsShareABound(t *testing.T) {
	const streams = 150
	budget := bytebudget.New(46 << 20)
	var readers []*eventReader
	for range streams {
		// The reader stalls before its event is too long, so that all of them are held at the same time.
		in := io.MultiReader(io.LimitReader(repeatReader{}, maxEventBytes-eventReadBytes), errorReader{})
		r := &eventReader{in: in, hold: budget.Share().Hold}
		if _, err := r.next(); err == nil {
			t.Fatal("an event without end was returned")
		}
		readers = append(readers, r)
	}
	held := 0
	for _, r := range readers {
		held += cap(r.pending)
	}
	if limit := 46<<20 + streams*2*eventReadBytes; held > limit {
		t.Errorf("%d events without end hold %d bytes, want at most %d", streams, held, limit)
	}
	sound := &eventReader{in: strings.NewReader("id: 1\ndata: a\n\n"), hold: budget.Share().Hold}
	if events, err := sound.next(); err != nil || len(events) == 0 {
		t.Errorf("event of a sound stream: %q, %v", events, err)
	}
}

// errorReader fails like a connection that is cut off.
type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// countingReader returns small pieces of an event without end and counts them.
type countingReader struct{ reads int }

func (c *countingReader) Read(p []byte) (int, error) {
	c.reads++
	n := min(len(p), 64)
	for i := range n {
		p[i] = 'e'
	}
	return n, nil
}

// Load pattern: an event without end arrives in 16,000 pieces. Guards against a search for its end that begins anew with
// each piece: its cost grew with the square of the length, on hosts with a third of a core.
func TestEndOfAnEventIsSearchedOnce(t *testing.T) {
	in := &countingReader{}
	r := &eventReader{in: in, hold: bytebudget.New(46 << 20).Share().Hold}
	began := time.Now()
	if _, err := r.next(); !failure.HasCode(err, failure.FrameMismatch) {
		t.Fatalf("event without end: %v", err)
	}
	if took := time.Since(began); in.reads < 16000 || took > 300*time.Millisecond {
		t.Errorf("%d pieces took %v, want at least 16000 pieces within 300 ms", in.reads, took)
	}
}

// Guards against an end of an event that is missed because it arrives in pieces.
func TestEndOfAnEventInPieces(t *testing.T) {
	for _, end := range []string{"\n\n", "\r\n\r\n"} {
		text := "id: 1\ndata: " + strings.Repeat("a", 5000) + end
		r := &eventReader{in: iotest.OneByteReader(strings.NewReader(text + text)), hold: bytebudget.New(46 << 20).Share().Hold}
		for n := range 2 {
			if events, err := r.next(); err != nil || string(events) != text {
				t.Errorf("event %d that ends with %q: %d bytes, %v, want %d", n+1, end, len(events), err, len(text))
			}
		}
	}
}

// Guards against reading a body without end that no backend server signed, and against a refusal whose body holds up
// the retry until the deadline.
func TestBodiesThatAreNoAnswerAreNotRead(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	address := serveRaw(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", time.Millisecond)
	began := time.Now()
	a := readFullResponse(sendTo(ctx, t, address), verdict.Judge(verdict.Response{Status: http.StatusOK}))
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
	_, _, _, fail := b.send(ctx, j, c, "", nil)
	if fail == nil || fail.Outcome != failure.NotRun || time.Since(began) > time.Second {
		t.Errorf("refusal with a body without end: %v after %v, want outcome %s at once", fail, time.Since(began), failure.NotRun)
	}
	if open := b.pool.OpenConns(); open != 0 {
		t.Errorf("open connections after the refusal: %d, want 0", open)
	}

	c.server.Address = serveRaw(t, "HTTP/1.1 503 Unavailable\r\nRefused: 1\r\nContent-Length: 100\r\n\r\n", "x", 100*time.Millisecond)
	began = time.Now()
	_, _, _, fail = b.send(ctx, j, c, "", nil)
	if fail == nil || fail.Outcome != failure.NotRun || time.Since(began) > time.Second || b.pool.OpenConns() != 0 {
		t.Errorf("refusal whose body does not come: %v after %v with %d open connections, want outcome %s at once", fail, time.Since(began), b.pool.OpenConns(), failure.NotRun)
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
			relay := &streamRelay{w: httptest.NewRecorder(), codec: plainCodec{}, budget: bytebudget.New(1 << 20)}
			resp := sendTo(ctx, t, serveRaw(t, head, c.part, c.pause))
			defer resp.Close()
			watch := newSilenceWatch(time.Minute, time.Hour, cancel, func(silence) taker { return &testTaker{} })
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
