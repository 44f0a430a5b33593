package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/standin/faults"
	standinservice "trefoilferry.example/ferry/pkg/standin/service"
)

// newServiceTestbed returns an agent beside a service named booking that takes delay for each call.
func newServiceTestbed(t *testing.T, delay time.Duration) (*testbed, *standinservice.Server) {
	t.Helper()
	server := standinservice.New("booking", delay)
	web := httptest.NewServer(server)
	t.Cleanup(web.Close)
	b := newTestbed(t, BackendService, web.URL)
	b.publish("c1", published("service", "booking"), published("workspace", "w"))
	return b, server
}

func serviceCallOf(id, key string) *ferrypb.ExecRequest {
	return &ferrypb.ExecRequest{RequestId: id, AttemptId: "1", Kind: ferrypb.RequestKind_REQUEST_KIND_SERVICE,
		Target: "booking", Workspace: "w", Method: http.MethodPost, Path: "/seats", IdempotencyKey: key}
}

func (b *testbed) ready() bool { return b.daemon.view.Load().Ready }

// execKeyed retries a call with an idempotency key until the agent accepts keys.
func (b *testbed) execKeyed(id, key, body string) execResult {
	b.t.Helper()
	var got execResult
	b.eventually("keyed call accepted", func() bool {
		got = b.exec(context.Background(), serviceCallOf(id, key), body, nil)
		return !got.refusedWith(failure.LogUnavailable, failure.NotRun)
	})
	return got
}

// replayed reports whether the response is marked as the stored result of an earlier run.
func replayed(a execResult) bool {
	for _, h := range a.header {
		if h.Name == headerReplayed && h.Value == "true" {
			return true
		}
	}
	return false
}

// Guards against a second run of a keyed request, a replayed response that differs from the first, and a key that is
// accepted for another request.
func TestKeyedCallRunsOnceAndIsReplayed(t *testing.T) {
	b, server := newServiceTestbed(t, 0)
	b.start("i1")
	b.eventually("ready", b.ready)
	first := b.execKeyed("q1", "k1", "seat 4")
	if first.end == nil || first.status != http.StatusOK || replayed(first) {
		t.Fatalf("first call: %+v, want status 200 and no replay", first)
	}
	again := b.exec(context.Background(), serviceCallOf("q2", "k1"), "seat 4", nil)
	if again.end == nil || again.text != first.text || !replayed(again) {
		t.Fatalf("replayed result %+v, want that of the first call %+v", again, first)
	}
	other := b.exec(context.Background(), serviceCallOf("q3", "k1"), "seat 5", nil)
	if !other.refusedWith(failure.KeyMismatch, failure.NotRun) {
		t.Fatalf("other request with the same key: %+v, want code key_mismatch as not_run", other)
	}
	if runs := server.Counts().ByKey["k1"]; runs != 1 {
		t.Fatalf("runs of the request with key k1: %d, want 1", runs)
	}
}

// Guards against a second run after the service has executed the request and its response was lost.
func TestKeyedCallWithLostAnswerIsNotRepeated(t *testing.T) {
	b, server := newServiceTestbed(t, 0)
	b.start("i1")
	b.eventually("ready", b.ready)
	b.execKeyed("q0", "k0", "warm up")
	server.Faults.Set(faults.Switches{LoseAnswerAfterEffect: 1})
	lost := b.exec(context.Background(), serviceCallOf("q1", "k1"), "seat 4", nil)
	if lost.err == nil || failure.From(lost.err).Outcome != failure.Unknown {
		t.Fatalf("call with lost response: %+v, want outcome unknown", lost)
	}
	again := b.exec(context.Background(), serviceCallOf("q2", "k1"), "seat 4", nil)
	if !again.refusedWith(failure.KeyInProgress, failure.Unknown) {
		t.Fatalf("second call: %+v, want code key_in_progress as unknown", again)
	}
	if runs := server.Counts().ByKey["k1"]; runs != 1 {
		t.Fatalf("runs of the request with key k1: %d, want 1", runs)
	}
}

// Guards against a second run after the agent was killed while the service was executing the request.
func TestKeyedCallOfKilledAgentIsNotRepeated(t *testing.T) {
	b, server := newServiceTestbed(t, 300*time.Millisecond)
	b.settings.Keys.Wait = 50 * time.Millisecond
	b.start("i1")
	b.eventually("ready", b.ready)
	b.execKeyed("q0", "k0", "warm up")
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan execResult, 1)
	go func() { finished <- b.exec(ctx, serviceCallOf("q1", "k1"), "seat 4", nil) }()
	b.eventually("service executes the request", func() bool { return server.Counts().ByKey["k1"] == 1 })
	b.log.SetDown(true)
	b.daemon.kill()
	cancel()
	<-finished
	b.log.SetDown(false)
	b.start("i2")
	b.eventually("ready", b.ready)
	if again := b.execKeyed("q2", "k1", "seat 4"); !again.refusedWith(failure.KeyInProgress, failure.Unknown) {
		t.Fatalf("second call: %+v, want code key_in_progress as unknown", again)
	}
	if runs := server.Counts().ByKey["k1"]; runs != 1 {
		t.Fatalf("runs of the request with key k1: %d, want 1", runs)
	}
}

// Guards against keyed calls that run during a log outage, and against other calls that fail because of it.
func TestLogOutageRefusesOnlyKeyedCalls(t *testing.T) {
	b, server := newServiceTestbed(t, 0)
	b.start("i1")
	b.eventually("ready", b.ready)
	b.execKeyed("q0", "k0", "warm up")
	b.log.SetDown(true)
	defer b.log.SetDown(false)
	keyed := b.exec(context.Background(), serviceCallOf("q1", "k1"), "seat 4", nil)
	if !keyed.refusedWith(failure.LogUnavailable, failure.NotRun) {
		t.Fatalf("keyed call during a log outage: %+v, want code log_unavailable as not_run", keyed)
	}
	keyless := b.exec(context.Background(), serviceCallOf("q2", ""), "seat 4", nil)
	idempotent := serviceCallOf("q3", "k3")
	idempotent.Idempotent = true
	read := b.exec(context.Background(), idempotent, "", nil)
	if keyless.end == nil || read.end == nil || !strings.Contains(keyless.text, "seat 4") {
		t.Fatalf("call without key %+v, idempotent call %+v, want complete responses", keyless, read)
	}
	if runs := server.Counts().ByKey["k1"]; runs != 0 {
		t.Fatalf("runs of the keyed request during a log outage: %d, want 0", runs)
	}
}

// Guards against a graceful stop that interrupts a call in progress or accepts new ones.
func TestStopFinishesCallInProgress(t *testing.T) {
	b, server := newServiceTestbed(t, 400*time.Millisecond)
	b.start("i1")
	b.eventually("ready", b.ready)
	finished := make(chan execResult, 1)
	go func() { finished <- b.exec(context.Background(), serviceCallOf("q1", ""), "seat 4", nil) }()
	b.eventually("call runs", func() bool { return server.Counts().InProgress == 1 })
	stopped := make(chan error, 1)
	go func() { stopped <- b.daemon.Stop(context.Background()) }()
	b.eventually("new requests refused", func() bool {
		got := b.exec(context.Background(), serviceCallOf("q2", ""), "seat 5", nil)
		return got.refusedWith(failure.Leaving, failure.NotRun)
	})
	if got := <-finished; got.end == nil {
		t.Fatalf("call in progress at the stop: %+v, want a complete response", got)
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
}
