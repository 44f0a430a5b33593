package service_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/faultproxy"
	"trefoilferry.example/ferry/pkg/service"
	"trefoilferry.example/ferry/pkg/standin/faults"
	standin "trefoilferry.example/ferry/pkg/standin/service"
)

// start starts a stand-in service that responds after delay.
func start(t *testing.T, delay time.Duration) (*standin.Server, *httptest.Server) {
	t.Helper()
	server := standin.New("booking", delay)
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	return server, listener
}

// call sends one call and reads the complete response.
func call(c *service.Client, method string) (int, []byte, error) {
	resp, err := c.Do(context.Background(), service.Call{
		Method: method, Path: "/seats/7?x=1&status=201", Header: http.Header{"X-A": {"b"}, "Connection": {"X-A"}},
		Body: []byte("body"), RequestID: "r1", IdempotencyKey: "k1",
	})
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.Status, data, err
}

// Guards against a client that alters the request or the response.
func TestCallPassesThrough(t *testing.T) {
	_, listener := start(t, 0)
	status, data, err := call(service.NewClient(listener.URL, nil), http.MethodPut)
	if err != nil {
		t.Fatal(err)
	}
	var echo standin.Echo
	if err := json.Unmarshal(data, &echo); err != nil {
		t.Fatal(err)
	}
	want := standin.Echo{
		Service: "booking", Method: "PUT", Path: "/seats/7", Query: "x=1&status=201", Body: "body",
		RequestID: "r1", IdempotencyKey: "k1", Run: 1,
	}
	if status != http.StatusCreated || echo != want {
		t.Fatalf("response status %d, echoed request %+v; want status %d, %+v", status, echo, http.StatusCreated, want)
	}
}

// Guards against a hidden retry and against a wrong outcome if the connection is lost after the service has executed the
// call. A first call leaves an idle connection for the tested call to reuse.
func TestCallRunsOnceOnConnectionFailure(t *testing.T) {
	tests := map[string]struct {
		faults  faults.Switches
		code    failure.Code
		outcome failure.Outcome
		runs    int
	}{
		"response lost":      {faults.Switches{LoseAnswerAfterEffect: 1}, failure.ConnectionLost, failure.Unknown, 2},
		"response truncated": {faults.Switches{TruncateAnswer: 1}, failure.Truncated, failure.Unknown, 2},
		"down":               {faults.Switches{Down: true}, failure.ConnectionLost, failure.Unknown, 1},
	}
	for name, test := range tests {
		for _, method := range []string{http.MethodPost, http.MethodDelete, http.MethodPut} {
			server, listener := start(t, 0)
			client := service.NewClient(listener.URL, nil)
			if _, _, err := call(client, method); err != nil {
				t.Fatal(err)
			}
			server.Faults.Set(test.faults)
			_, _, err := call(client, method)
			if got := failure.From(err); err == nil || got.Code != test.code || got.Outcome != test.outcome {
				t.Errorf("%s %s: error %v with outcome %s, want code %s with outcome %s", name, method, err, got.Outcome, test.code, test.outcome)
			}
			if counts := server.Counts(); counts.ByKey["k1"] != test.runs || counts.ByRequest["r1"] != test.runs {
				t.Errorf("%s %s: runs at the service %+v, want %d for key k1 and request r1", name, method, counts, test.runs)
			}
		}
	}
}

// Guards against a retry by the HTTP transport if the network, not the service, breaks the connection.
func TestNetworkCutDuringCall(t *testing.T) {
	server, listener := start(t, 300*time.Millisecond)
	proxy, err := faultproxy.New("127.0.0.1:0", listener.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	client := service.NewClient("http://"+proxy.Addr(), nil)
	go func() {
		for server.Counts().InProgress == 0 {
			time.Sleep(time.Millisecond)
		}
		proxy.ResetConnections()
	}()
	_, _, err = call(client, http.MethodPost)
	if got := failure.From(err); got.Code != failure.ConnectionLost || got.Outcome != failure.Unknown {
		t.Fatalf("call on a cut connection: error %v with outcome %s, want code %s with outcome %s", err, got.Outcome, failure.ConnectionLost, failure.Unknown)
	}
	if err := proxy.SetFaults(faultproxy.Faults{Refuse: true}); err != nil {
		t.Fatal(err)
	}
	_, _, err = call(client, http.MethodPost)
	if got := failure.From(err); got.Code != failure.ConnectFailed || got.Outcome != failure.NotRun {
		t.Fatalf("call on a refused connection: error %v with outcome %s, want code %s with outcome %s", err, got.Outcome, failure.ConnectFailed, failure.NotRun)
	}
	if runs := server.Counts().Total; runs != 1 {
		t.Fatalf("runs at the service: %d, want 1", runs)
	}
}

// Guards against a truncated response that passes as complete because it has neither a length nor chunks.
func TestCloseDelimitedResponse(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\n\r\nhalf")
		_ = conn.Close()
	}))
	defer server.Close()
	_, _, err := call(service.NewClient(server.URL, nil), http.MethodPost)
	if !failure.HasCode(err, failure.Truncated) {
		t.Fatalf("close-delimited response: error %v, want code %s", err, failure.Truncated)
	}
}
