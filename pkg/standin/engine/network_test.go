package engine_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/faultproxy"
	"trefoilferry.example/ferry/pkg/standin/answer"
	standin "trefoilferry.example/ferry/pkg/standin/engine"
)

// Guards against a network fault in mid-stream that is reported as the end of the stream, and against an outcome other
// than unknown for it.
func TestNetworkFaultsDuringStream(t *testing.T) {
	tests := map[string]struct {
		apply   func(*faultproxy.Proxy) error
		code    failure.Code
		outcome failure.Outcome
	}{
		"cut": {func(p *faultproxy.Proxy) error {
			p.ResetConnections()
			return nil
		}, failure.ConnectionLost, failure.Unknown},
		"held": {func(p *faultproxy.Proxy) error {
			return p.SetFaults(faultproxy.Faults{HoldToClient: true})
		}, failure.DeadlineExceeded, failure.Unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server := standin.New(standin.Config{Scale: 1})
			defer server.Close()
			load(t, server, "m")
			listener := httptest.NewServer(server)
			defer listener.Close()
			proxy, err := faultproxy.New("127.0.0.1:0", listener.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer proxy.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 250*time.Millisecond)
			defer cancel()
			stream, err := engine.NewClient("http://"+proxy.Addr(), nil).Generate(ctx, request("r1", "hello"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = stream.Close() }()
			if _, err := stream.Next(); err != nil {
				t.Fatal(err)
			}
			if err := test.apply(proxy); err != nil {
				t.Fatal(err)
			}
			for err == nil {
				_, err = stream.Next()
			}
			if got := failure.From(err); got.Code != test.code || got.Outcome != test.outcome {
				t.Fatalf("error of the stream: %v (%v), want %v (%v)", err, got.Outcome, test.code, test.outcome)
			}
		})
	}
}

// Guards against responses that are swapped, mixed or truncated when many requests share a batch and some are
// cancelled.
func TestConcurrentResponsesMatchTheirRequests(t *testing.T) {
	server, client := start(t, standin.Config{Scale: 100, MaxRunning: 8})
	load(t, server, "m")
	var all sync.WaitGroup
	for i := range 64 {
		all.Go(func() {
			prompt := fmt.Sprintf("prompt %d", i)
			req := request(fmt.Sprintf("r%d", i), prompt)
			if i%8 == 0 {
				cancelAfterFirst(t, client, req)
				return
			}
			text, last, err := collect(client, req)
			if err != nil || text != answer.Text("m", "", prompt, 0, wantTokens) || last.FinishReason != "length" {
				t.Errorf("%s: text %q, last chunk %+v, error %v, want the full text of its own prompt", req.RequestID, text, last, err)
			}
		})
	}
	all.Wait()
	eventually(t, func() bool {
		c := server.Counters()
		return c.Started == 64 && c.Completed >= 56 && c.Running == 0
	})
}

func cancelAfterFirst(t *testing.T, client *engine.Client, req engine.GenerateRequest) {
	stream, err := client.Generate(context.Background(), req)
	if err != nil {
		t.Error(err)
		return
	}
	if _, err := stream.Next(); err != nil {
		t.Error(err)
	}
	if err := stream.Close(); err != nil {
		t.Error(err)
	}
}
