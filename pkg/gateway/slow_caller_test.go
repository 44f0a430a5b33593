package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/bytebudget"
)

// slowCaller is a caller that takes a second to read the first event.
type slowCaller struct {
	*httptest.ResponseRecorder
	slept bool
}

func (c *slowCaller) Write(p []byte) (int, error) {
	if !c.slept {
		c.slept = true
		time.Sleep(time.Second)
	}
	return c.ResponseRecorder.Write(p)
}

// Guards against a stream that is taken from a sound server, at the cost of an attempt and the retry budget, because its
// caller reads slowly: the time in which the relay writes to the caller is no silence of the server.
func TestSlowCallerIsNoSilenceOfTheServer(t *testing.T) {
	const stall = 300 * time.Millisecond
	deadline, cancelDeadline := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancelDeadline()
	ctx, cancel := context.WithCancelCause(deadline)
	defer cancel(nil)
	head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	resp := sendTo(ctx, t, serveRaw(t, head, chunk("data: b\n\n"), 20*time.Millisecond))
	defer resp.Close()
	var silences atomic.Int32
	watch := newSilenceWatch(time.Minute, time.Hour, cancel, func(silence) taker { silences.Add(1); return &testTaker{} })
	var w http.ResponseWriter = &slowCaller{ResponseRecorder: httptest.NewRecorder()}
	relay := &streamRelay{w: w, codec: plainCodec{}, budget: bytebudget.New(1 << 20)}
	fail := relay.run(ctx, resp, watch, stall, func() {})
	if n := silences.Load(); n != 0 {
		t.Errorf("server with an event every 20 ms counted as silent %d times (%v), want 0", n, fail)
	}
}
