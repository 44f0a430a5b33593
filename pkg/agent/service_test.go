package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
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
