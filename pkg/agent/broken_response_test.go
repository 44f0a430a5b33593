package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"trefoilferry.example/ferry/pkg/failure"
)

// writesResponse makes a service write the text as its response to every request.
func writesResponse(t *testing.T, text string) string {
	t.Helper()
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Write([]byte(text))
	}))
	t.Cleanup(web.Close)
	return web.URL
}

// Guards against a response that is not valid HTTP and that the agent passes on, or stores for repeats of a keyed call. The
// call may have run.
func TestInvalidResponseIsNotPassedOn(t *testing.T) {
	const length = "Content-Length: 4\r\n"
	for _, head := range []string{
		"000 OK\r\n" + length, "099 OK\r\n" + length, "600 OK\r\n" + length, "999 OK\r\n" + length,
		"200 OK\r\nX Y: v\r\n" + length, "200 OK\r\nX : v\r\n" + length, "200 OK\r\nTransfer-Encoding : chunked\r\n" + length,
	} {
		b := newTestbed(t, BackendService, writesResponse(t, "HTTP/1.1 "+head+"\r\nfull"))
		b.publish("c1", published("service", "booking"), published("workspace", "w"))
		b.start("i1")
		b.eventually("ready", b.ready)
		calls := []execResult{b.exec(context.Background(), serviceCallOf("q1", ""), "seat 4", nil), b.execKeyed("q2", "k1", "seat 4")}
		for n, got := range calls {
			if got.end != nil || !got.refusedWith(failure.FrameMismatch, failure.Unknown) {
				t.Errorf("head %q, call %d: %+v, want code %s and outcome %s", head, n, got, failure.FrameMismatch, failure.Unknown)
			}
		}
		if again := b.execKeyed("q3", "k1", "seat 4"); again.end != nil || failure.From(again.err).Outcome == failure.NotRun {
			t.Errorf("head %q, repeat of the keyed call: %+v, want no response and no claim that it was not run", head, again)
		}
	}
}
