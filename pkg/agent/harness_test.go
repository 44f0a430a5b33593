package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/frame"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/infra/memlog"
	"trefoilferry.example/ferry/pkg/oncehttp"
	"trefoilferry.example/ferry/pkg/service"
	"trefoilferry.example/ferry/pkg/settings"
	standinengine "trefoilferry.example/ferry/pkg/standin/engine"
)

// staticHosts is a host list with a fixed content.
type staticHosts struct {
	mu    sync.Mutex
	hosts []infra.Host
}

func (h *staticHosts) Hosts(context.Context) ([]infra.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hosts, nil
}

// testbed is one agent with an in-memory log and host list.
type testbed struct {
	t        *testing.T
	log      *memlog.Log
	hosts    *staticHosts
	engine   *standinengine.Server
	backend  string
	settings Settings
	daemon   *Daemon
	client   *http.Client
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func newTestbed(t *testing.T, kind string, backend string) *testbed {
	t.Helper()
	b := &testbed{t: t, log: memlog.New(), hosts: &staticHosts{}, backend: backend,
		client: &http.Client{Transport: &http.Transport{}, Timeout: time.Second}}
	ini := fmt.Sprintf("[host]\nname = r1\nregion = ege\nfailure_domain = ege-1\n[listen]\ncontrol = %s\nadmin = %s\n"+
		"[platform]\nlog_url = http://127.0.0.1:1\nhosts_url = http://127.0.0.1:1\npoll_interval = 10ms\n"+
		"[backend]\nkind = %s\nurl = %s\nreport_interval = 10ms\nmemory_bytes = 1GiB\n[drain]\ntimeout = 20s\n",
		freeAddress(t), freeAddress(t), kind, backend)
	if kind == BackendService {
		ini = strings.Replace(ini, "kind = service\n", "kind = service\nservice = booking\n", 1)
	}
	if err := settings.Parse("test.ini", []byte(ini), &b.settings); err != nil {
		t.Fatal(err)
	}
	return b
}

func newEngineTestbed(t *testing.T) *testbed {
	t.Helper()
	config := standinengine.DefaultConfig()
	config.Scale = 20
	server := standinengine.New(config)
	web := httptest.NewServer(server)
	t.Cleanup(func() { web.Close(); server.Close() })
	b := newTestbed(t, BackendEngine, web.URL)
	b.engine = server
	b.settings.Backend.HonoursFencing = true
	return b
}

// start starts an agent. Each start of a test needs another incarnation.
func (b *testbed) start(incarnation string) {
	b.t.Helper()
	deps := Deps{
		Settings: &b.settings, Incarnation: incarnation, Seed: 1, Clock: clock.System{}, Log: b.log, Hosts: b.hosts,
		PeerClient: b.client, Logger: eventlog.Discard(), Metrics: NewMetrics(),
	}
	if b.settings.Backend.Kind == BackendEngine {
		deps.Engine = engine.NewClient(b.backend, b.backendClient())
	} else {
		deps.Service = service.NewClient(b.backend, b.backendClient())
	}
	b.daemon = New(deps)
	if err := b.daemon.Start(context.Background()); err != nil {
		b.t.Fatal(err)
	}
	d := b.daemon
	b.t.Cleanup(func() { _ = d.Stop(context.Background()) })
}

// backendClient returns a client whose connections are closed at the end of the test, so that their goroutines end too.
func (b *testbed) backendClient() *http.Client {
	client := oncehttp.NewClient()
	b.t.Cleanup(client.CloseIdleConnections)
	return client
}

// publish appends a change set with the given objects to the config stream.
func (b *testbed) publish(id string, objects ...*ferrypb.Object) {
	b.t.Helper()
	set := &ferrypb.ChangeSet{Id: id, Puts: objects, Rules: 1}
	for _, o := range objects {
		set.Base = append(set.Base, &ferrypb.BaseVersion{Key: &ferrypb.ObjectKey{Kind: o.Kind, Name: o.Name}})
	}
	data, err := proto.Marshal(&ferrypb.Envelope{Format: 1, Writer: id, WriterSeq: 1, Payload: &ferrypb.Envelope_ChangeSet{ChangeSet: set}})
	if err != nil {
		b.t.Fatal(err)
	}
	if _, err := b.log.Append(context.Background(), configStream, data); err != nil {
		b.t.Fatal(err)
	}
}

// published returns an object with the given key-value pairs.
func published(kind, name string, pairs ...string) *ferrypb.Object {
	o := &ferrypb.Object{Kind: kind, Name: name, Values: map[string]string{}}
	for i := 0; i < len(pairs); i += 2 {
		o.Values[pairs[i]] = pairs[i+1]
	}
	return o
}

// eventually waits up to 15 s until ok returns true.
func (b *testbed) eventually(what string, ok func() bool) {
	b.t.Helper()
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	b.t.Fatalf("condition %q not met within 15 s; view %+v", what, b.daemon.view.Load())
}

func (b *testbed) serving(model string) bool {
	v := b.daemon.view.Load()
	_, ok := v.Models[model]
	return ok && v.Ready
}

// execResult is the result of an exec call.
type execResult struct {
	status uint32
	header []*ferrypb.Header
	text   string
	end    *ferrypb.End
	err    error
}

// exec sends one request and reads the whole response. It calls onData, unless nil, for every data frame.
func (b *testbed) exec(ctx context.Context, request *ferrypb.ExecRequest, body string, onData func()) execResult {
	b.t.Helper()
	request.BodyBytes = int64(len(body))
	var buffer bytes.Buffer
	if err := frame.WriteRequest(&buffer, request); err != nil {
		b.t.Fatal(err)
	}
	buffer.WriteString(body)
	url := "http://" + b.settings.Listen.Control + execPath
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, url, &buffer)
	if err != nil {
		b.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(call)
	if err != nil {
		return execResult{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	return readResult(frame.NewReader(resp.Body, frame.Ident{RequestID: request.RequestId, AttemptID: request.AttemptId}), onData)
}

func readResult(r *frame.Reader, onData func()) execResult {
	var out execResult
	for {
		f, err := r.Next()
		if errors.Is(err, io.EOF) {
			return out
		}
		if err != nil {
			out.err = err
			return out
		}
		switch {
		case f.GetAccepted() != nil:
			out.status = f.GetAccepted().Status
			out.header = f.GetAccepted().Header
		case f.GetData() != nil:
			out.text += string(f.GetData().Payload)
			if onData != nil {
				onData()
			}
		case f.GetEnd() != nil:
			out.end = f.GetEnd()
			return out
		}
	}
}

// refusedWith reports whether the call failed with the given code and outcome.
func (a execResult) refusedWith(code failure.Code, outcome failure.Outcome) bool {
	return a.err != nil && failure.HasCode(a.err, code) && failure.From(a.err).Outcome == outcome
}

func generation(id, model string) *ferrypb.ExecRequest {
	return &ferrypb.ExecRequest{RequestId: id, AttemptId: "1", Kind: ferrypb.RequestKind_REQUEST_KIND_GENERATE,
		Target: model, Path: "/v1/completions", Method: http.MethodPost, PromptTokens: 4}
}
