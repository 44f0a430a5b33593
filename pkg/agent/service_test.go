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

// newServiceBed returns an agent beside a service named booking that takes delay per call.
func newServiceBed(t *testing.T, delay time.Duration) (*testbed, *standinservice.Server) {
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

// keyed repeats a keyed call until the agent accepts keys.
func (b *testbed) keyed(id, key, body string) answer {
	b.t.Helper()
	var got answer
	b.eventually("keyed call accepted", func() bool {
		got = b.exec(context.Background(), serviceCallOf(id, key), body, nil)
		return !got.refusedWith(failure.LogUnavailable, failure.NotRun)
	})
	return got
}

func replayed(a answer) bool {
	for _, h := range a.header {
		if h.Name == headerReplayed && h.Value == "true" {
			return true
		}
	}
	return false
}

// Guards against a second run of a keyed request, an answer that differs on replay, and a key that serves another request.
func TestKeyedCallRunsOnceAndIsReplayed(t *testing.T) {
	b, server := newServiceBed(t, 0)
	b.start("i1")
	b.eventually("ready", b.ready)
	first := b.keyed("q1", "k1", "seat 4")
	if first.end == nil || first.status != http.StatusOK || replayed(first) {
		t.Fatalf("first answer %+v", first)
	}
	again := b.exec(context.Background(), serviceCallOf("q2", "k1"), "seat 4", nil)
	if again.end == nil || again.text != first.text || !replayed(again) {
		t.Fatalf("replayed answer %+v, first %+v", again, first)
	}
	other := b.exec(context.Background(), serviceCallOf("q3", "k1"), "seat 5", nil)
	if !other.refusedWith(failure.KeyMismatch, failure.NotRun) {
		t.Fatalf("other request with the key: %+v", other)
	}
	if runs := server.Counts().ByKey["k1"]; runs != 1 {
		t.Fatalf("%d runs", runs)
	}
}

// Guards against a second run after the service acted and its answer was lost.
func TestKeyedCallWithLostAnswerIsNotRepeated(t *testing.T) {
	b, server := newServiceBed(t, 0)
	b.start("i1")
	b.eventually("ready", b.ready)
	b.keyed("q0", "k0", "warm up")
	server.Faults.Set(faults.Switches{LoseAnswerAfterEffect: 1})
	lost := b.exec(context.Background(), serviceCallOf("q1", "k1"), "seat 4", nil)
	if lost.err == nil || failure.From(lost.err).Outcome != failure.Unknown {
		t.Fatalf("lost answer %+v", lost)
	}
	again := b.exec(context.Background(), serviceCallOf("q2", "k1"), "seat 4", nil)
	if !again.refusedWith(failure.KeyInProgress, failure.Unknown) {
		t.Fatalf("second call %+v", again)
	}
	if runs := server.Counts().ByKey["k1"]; runs != 1 {
		t.Fatalf("%d runs", runs)
	}
}

// Guards against a second run after the agent died once the service had acted.
func TestKeyedCallOfDeadAgentIsNotRepeated(t *testing.T) {
	b, server := newServiceBed(t, 300*time.Millisecond)
	b.settings.Keys.Wait = 50 * time.Millisecond
	b.start("i1")
	b.eventually("ready", b.ready)
	b.keyed("q0", "k0", "warm up")
	ctx, cancel := context.WithCancel(context.Background())
	finished := make(chan answer, 1)
	go func() { finished <- b.exec(ctx, serviceCallOf("q1", "k1"), "seat 4", nil) }()
	b.eventually("service acts", func() bool { return server.Counts().ByKey["k1"] == 1 })
	b.log.SetDown(true)
	b.daemon.kill()
	cancel()
	<-finished
	b.log.SetDown(false)
	b.start("i2")
	b.eventually("ready", b.ready)
	if again := b.keyed("q2", "k1", "seat 4"); !again.refusedWith(failure.KeyInProgress, failure.Unknown) {
		t.Fatalf("second call %+v", again)
	}
	if runs := server.Counts().ByKey["k1"]; runs != 1 {
		t.Fatalf("%d runs", runs)
	}
}

// Guards against keyed calls that run without the log, and against other calls that stop with it.
func TestLogOutageRefusesOnlyKeyedCalls(t *testing.T) {
	b, server := newServiceBed(t, 0)
	b.start("i1")
	b.eventually("ready", b.ready)
	b.keyed("q0", "k0", "warm up")
	b.log.SetDown(true)
	defer b.log.SetDown(false)
	keyed := b.exec(context.Background(), serviceCallOf("q1", "k1"), "seat 4", nil)
	if !keyed.refusedWith(failure.LogUnavailable, failure.NotRun) {
		t.Fatalf("keyed call %+v", keyed)
	}
	keyless := b.exec(context.Background(), serviceCallOf("q2", ""), "seat 4", nil)
	idempotent := serviceCallOf("q3", "k3")
	idempotent.Idempotent = true
	read := b.exec(context.Background(), idempotent, "", nil)
	if keyless.end == nil || read.end == nil || !strings.Contains(keyless.text, "seat 4") {
		t.Fatalf("keyless %+v, idempotent %+v", keyless, read)
	}
	if runs := server.Counts().ByKey["k1"]; runs != 0 {
		t.Fatalf("%d runs without a claim", runs)
	}
}

// Guards against a planned stop that cuts a call in progress or takes new ones.
func TestStopFinishesCallInProgress(t *testing.T) {
	b, server := newServiceBed(t, 400*time.Millisecond)
	b.start("i1")
	b.eventually("ready", b.ready)
	finished := make(chan answer, 1)
	go func() { finished <- b.exec(context.Background(), serviceCallOf("q1", ""), "seat 4", nil) }()
	b.eventually("call runs", func() bool { return server.Counts().InProgress == 1 })
	stopped := make(chan error, 1)
	go func() { stopped <- b.daemon.Stop(context.Background()) }()
	b.eventually("new work refused", func() bool {
		got := b.exec(context.Background(), serviceCallOf("q2", ""), "seat 5", nil)
		return got.refusedWith(failure.Leaving, failure.NotRun)
	})
	if got := <-finished; got.end == nil {
		t.Fatalf("call in progress ended with %+v", got)
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
}
