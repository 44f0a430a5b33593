package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/bytebudget"
	"trefoilferry.example/ferry/pkg/failure"
)

// testEvents returns n numbered events of about size bytes each.
func testEvents(n, size int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("id: %d\ndata: %s\n\n", i+1, strings.Repeat("e", size))
	}
	return out
}

// streamResult is what a stream looked like to the goroutine that reads from the server.
type streamResult struct {
	fail *failure.Failure
	// longest is the longest time that a write took.
	longest time.Duration
	stream  *callerStream
}

// serveEvents serves one stream of the given events, one each interval, and returns its address and its result.
func serveEvents(t *testing.T, budget *bytebudget.Budget, events []string, interval time.Duration) (string, <-chan streamResult) {
	t.Helper()
	results := make(chan streamResult, 1)
	handler := func(w http.ResponseWriter, r *http.Request) {
		res := streamResult{stream: newCallerStream(r.Context(), w, budget)}
		defer func() { results <- res }()
		defer res.stream.close()
		for _, e := range events {
			began := time.Now()
			res.fail = res.stream.write(r.Context(), []byte(e))
			res.longest = max(res.longest, time.Since(began))
			if res.fail != nil {
				panic(http.ErrAbortHandler)
			}
			time.Sleep(interval)
		}
		if res.fail = res.stream.finish(); res.fail != nil {
			panic(http.ErrAbortHandler)
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(handler), ConnContext: WithCallerConn, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String(), results
}

// requestStream sends a request for the stream over a connection with a small receive buffer and returns its body.
func requestStream(t *testing.T, address string) io.Reader {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.(*net.TCPConn).SetReadBuffer(32 << 10); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	return resp.Body
}

// Guards against a stream whose caller keeps up and that is held and handed to another goroutine all the same.
func TestCallerThatKeepsUpHasNoBacklog(t *testing.T) {
	for name, size := range map[string]int{"short events": 40, "usual events": 400, "events above the unchecked size": 3000} {
		events := testEvents(100, size)
		address, results := serveEvents(t, bytebudget.New(8<<20), events, time.Millisecond)
		body, err := io.ReadAll(requestStream(t, address))
		res := <-results
		if err != nil || string(body) != strings.Join(events, "") || res.fail != nil || res.stream.peak > 0 {
			t.Errorf("%s: %d bytes, %v, %v, held %d, want all events and none held", name, len(body), err, res.fail, res.stream.peak)
		}
	}
}

// Guards against a pause of a caller that holds up the reading from the server, and against events that are lost, repeated or
// reordered when the stream is handed over, and back again.
func TestCallerThatPausesGetsTheWholeStream(t *testing.T) {
	budget := bytebudget.New(8 << 20)
	events := testEvents(2500, 600)
	address, results := serveEvents(t, budget, events, time.Millisecond)
	in := requestStream(t, address)
	var body strings.Builder
	// Each pause fills the buffers on the way; after it the caller catches up and the stream is written directly again.
	for range 3 {
		time.Sleep(800 * time.Millisecond)
		if _, err := io.CopyN(&body, in, 450_000); err != nil {
			t.Fatal(err)
		}
	}
	_, err := io.Copy(&body, in)
	res := <-results
	if err != nil || res.fail != nil || body.String() != strings.Join(events, "") {
		t.Fatalf("%d bytes, %v, %v, want all %d", body.Len(), err, res.fail, len(strings.Join(events, "")))
	}
	if res.longest > 500*time.Millisecond || res.stream.peak == 0 {
		t.Errorf("a write took %v with at most %d bytes held, want some held and no write that waits for the caller", res.longest, res.stream.peak)
	}
	if used := budget.Used(); used != 0 {
		t.Errorf("%d bytes are held after the stream", used)
	}
}

// Guards against a steady caller that is cut off because it is slower than the server, and against more held bytes for it
// than the bound.
func TestSteadySlowCallerHoldsUpItsServerOnly(t *testing.T) {
	budget := bytebudget.New(8 << 20)
	events := testEvents(400, 10_000)
	address, results := serveEvents(t, budget, events, 0)
	in, n := requestStream(t, address), 0
	for buffer := make([]byte, 32<<10); ; time.Sleep(5 * time.Millisecond) {
		k, err := in.Read(buffer)
		n += k
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatalf("after %d bytes: %v", n, err)
		}
	}
	res := <-results
	if want := len(strings.Join(events, "")); n != want || res.fail != nil || res.stream.peak > maxBacklogBytes {
		t.Errorf("%d of %d bytes, %v, at most %d held, want all and at most %d held", n, want, res.fail, res.stream.peak, maxBacklogBytes)
	}
}

// Guards against a caller that never reads and is waited for without end, with and without room for its stream; against one
// whose stream seems to be complete; and against memory that is held after it.
func TestCallerThatTakesNothingIsEnded(t *testing.T) {
	for name, c := range map[string]struct {
		// taken is what other messages hold of 8 MB.
		taken  int64
		events int
		reason slowReason
	}{
		"more than its bound":        {0, 1500, slowNoRoom},
		"little left in the budget":  {5 << 20, 1500, slowNoRoom},
		"nothing left in the budget": {8 << 20, 500, slowNoRoom},
		"room for the whole stream":  {5 << 20, 300, slowStalled},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			budget := bytebudget.New(8 << 20)
			for held := int64(0); held < c.taken; held += 64 << 10 {
				if err := budget.Share().Hold(64<<10 + bytebudget.Allowance); err != nil {
					t.Fatal(err)
				}
			}
			before := budget.Used()
			address, results := serveEvents(t, budget, testEvents(c.events, 1000), 0)
			in := requestStream(t, address)
			select {
			case res := <-results:
				if !failure.HasCode(res.fail, failure.ClientCancelled) || res.stream.slow != c.reason || res.stream.peak > maxBacklogBytes {
					t.Errorf("%v, reason %q, at most %d held, want reason %q and at most %d", res.fail, res.stream.slow, res.stream.peak, c.reason, maxBacklogBytes)
				}
			case <-time.After(8 * time.Second):
				t.Fatal("the stream did not end within 6 s")
			}
			if used := budget.Used(); used != before {
				t.Errorf("%d bytes held after the stream, %d before", used, before)
			}
			if body, err := io.ReadAll(in); err == nil {
				t.Errorf("stream that was ended after %d bytes looks complete", len(body))
			}
		})
	}
}

// Guards against a caller that leaves while its events are held, and whose stream and memory remain.
func TestCallerThatLeavesReleasesItsBacklog(t *testing.T) {
	budget := bytebudget.New(8 << 20)
	address, results := serveEvents(t, budget, testEvents(500, 1000), 0)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(300 * time.Millisecond)
	_ = c.Close()
	select {
	case res := <-results:
		if res.fail == nil || res.stream.slow != "" || budget.Used() != 0 {
			t.Errorf("%v, reason %q, %d bytes held, want a failure, none and 0", res.fail, res.stream.slow, budget.Used())
		}
	case <-time.After(3 * time.Second):
		t.Fatal("the stream did not end within 3 s of its caller")
	}
}

// Guards against a request that waits for room after it has ended, and reports that as not run.
func TestWaitForRoomEndsWithTheRequest(t *testing.T) {
	s := &callerStream{changed: make(chan struct{}, 1)}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s.mu.Lock()
	fail := s.await(ctx, time.Minute)
	s.mu.Unlock()
	if !failure.HasCode(fail, failure.ClientCancelled) || fail.Outcome != failure.Unknown {
		t.Errorf("failure %v, want %s with outcome %s", fail, failure.ClientCancelled, failure.Unknown)
	}
}

// Guards against pieces that end inside an event although an event ends near, and against one without an end.
func TestPiecesEndWithEvents(t *testing.T) {
	for _, c := range []struct {
		events string
		size   int
		want   string
	}{
		{"a\n\n", 10, "a\n\n"},
		{"a\n\nbb\n\n", 5, "a\n\n"},
		{"a\n\nb\n\ncc\n\n", 7, "a\n\nb\n\n"},
		{"aaaaaaaaaa\n\nb\n\n", 6, "aaaaaaaaaa\n\n"},
		{"aaaaaaaaaa\r\n\r\nb\n\n", 6, "aaaaaaaaaa\r\n\r\n"},
		{"aaaaaaaaaa\r\n\r\nb\n\n", 13, "aaaaaaaaaa\r\n\r\n"},
		{"aaaaaaaaaa", 6, "aaaaaaaaaa"},
	} {
		if n := pieceEnd([]byte(c.events), c.size); c.events[:n] != c.want {
			t.Errorf("first piece of %q in pieces of %d: %q, want %q", c.events, c.size, c.events[:n], c.want)
		}
	}
}

// Guards against memory that is held for callers who do not read, for as long as when there is plenty.
func TestPatienceDependsOnTheBudget(t *testing.T) {
	for used, want := range map[int64]time.Duration{0: usualPatience, 50: usualPatience, 51: shortPatience, 100: shortPatience} {
		if got := callerPatience(used, 100); got != want {
			t.Errorf("patience with %d of 100 bytes held: %v, want %v", used, got, want)
		}
	}
}
