package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"trefoilferry.example/ferry/pkg/failure"
)

// Guards against a service that sends a response without end to a keyed call, which is read completely before it is
// passed on: it filled the memory of the agent. The call has run, and the caller must not be told otherwise.
func TestEndlessResponseToKeyedCall(t *testing.T) {
	var sent atomic.Int64
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		block := make([]byte, 64<<10)
		for {
			n, err := w.Write(block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	t.Cleanup(web.Close)
	b := newTestbed(t, BackendService, web.URL)
	b.publish("c1", published("service", "booking"), published("workspace", "w"))
	b.start("i1")
	b.eventually("ready", b.ready)
	got := b.execKeyed("q1", "k1", "seat 4")
	if got.end != nil || got.refusedWith(failure.BodyTooLarge, failure.NotRun) || !got.refusedWith(failure.BodyTooLarge, failure.Ran) {
		t.Errorf("response without end: %+v, want code %s and outcome %s", got, failure.BodyTooLarge, failure.Ran)
	}
	if most := int64(2 * maxKeyedResponseBytes); sent.Load() > most {
		t.Errorf("the service sent %d bytes, want at most %d", sent.Load(), most)
	}
	again := b.exec(context.Background(), serviceCallOf("q2", "k1"), "seat 4", nil)
	if again.end != nil || again.refusedWith(failure.BodyTooLarge, failure.NotRun) {
		t.Errorf("second call with the key: %+v, want no run and no claim that the first did not run", again)
	}
}
