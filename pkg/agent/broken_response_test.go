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

// Guards against a response with a status that HTTP does not have and that the agent passes on, or stores for repeats of a
// keyed call. The call may have run.
func TestResponseWithInvalidStatusIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"000 OK", "099 OK", "600 OK", "999 OK"} {
		b := newTestbed(t, BackendService, writesResponse(t, "HTTP/1.1 "+status+"\r\nContent-Length: 4\r\n\r\nfull"))
		b.publish("c1", published("service", "booking"), published("workspace", "w"))
		b.start("i1")
		b.eventually("ready", b.ready)
		calls := []execResult{b.exec(context.Background(), serviceCallOf("q1", ""), "seat 4", nil), b.execKeyed("q2", "k1", "seat 4")}
		for n, got := range calls {
			if got.end != nil || !got.refusedWith(failure.FrameMismatch, failure.Unknown) {
				t.Errorf("status %s, call %d: %+v, want code %s and outcome %s", status, n, got, failure.FrameMismatch, failure.Unknown)
			}
		}
		if again := b.execKeyed("q3", "k1", "seat 4"); again.end != nil || failure.From(again.err).Outcome == failure.NotRun {
			t.Errorf("status %s, repeat of the keyed call: %+v, want no response and no claim that it was not run", status, again)
		}
	}
}
