package entry

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/frame"
	"trefoilferry.example/ferry/pkg/object"
	"trefoilferry.example/ferry/pkg/routing"
	"trefoilferry.example/ferry/pkg/settings"
	"trefoilferry.example/ferry/pkg/timeline"
)

const hostSettings = "[host]\nname=e1\nregion=r\nfailure_domain=d\n[platform]\nlog_url=http://127.0.0.1:1\nhosts_url=http://127.0.0.1:1\n"

// generatedWords is the text that fake agents generate, one token per word.
var generatedWords = []string{"one ", "two ", "thrée ", "four ", "five"}

// execScript responds to one exec call.
type execScript func(t *testing.T, call *execCall)

// execCall is an exec call to a fake agent.
type execCall struct {
	// w writes frames with the ids of the request to out.
	w       *frame.Writer
	out     http.ResponseWriter
	request *ferrypb.ExecRequest
	body    []byte
	ctx     context.Context
	ident   frame.Ident
	remote  string
}

// fakeAgent is an agent that responds to probes with a fixed prediction and to exec calls by a script, and counts
// hints.
type fakeAgent struct {
	ferrypb.Agent
	name         string
	probe        *ferrypb.ProbeResponse
	exec         execScript
	server       *httptest.Server
	mu           sync.Mutex
	calls        []*ferrypb.ExecRequest
	hints        int
	ignoreProbes bool
}

func newFakeAgent(t *testing.T, name string, predicted time.Duration, exec execScript) *fakeAgent {
	a := &fakeAgent{name: name, exec: exec, probe: &ferrypb.ProbeResponse{Incarnation: name, Accepts: true, FirstTokenMicros: predicted.Microseconds()}}
	twirp := ferrypb.NewAgentServer(a)
	mux := http.NewServeMux()
	mux.Handle(twirp.PathPrefix(), twirp)
	mux.HandleFunc(frame.Path, func(w http.ResponseWriter, r *http.Request) { a.serve(t, w, r) })
	a.server = httptest.NewServer(mux)
	t.Cleanup(a.server.Close)
	return a
}

func (a *fakeAgent) Probe(ctx context.Context, _ *ferrypb.ProbeRequest) (*ferrypb.ProbeResponse, error) {
	if a.ignoreProbes {
		<-ctx.Done()
	}
	return a.probe, nil
}

func (a *fakeAgent) Hint(context.Context, *ferrypb.HintRequest) (*ferrypb.HintResponse, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hints++
	return &ferrypb.HintResponse{}, nil
}

func (a *fakeAgent) serve(t *testing.T, w http.ResponseWriter, r *http.Request) {
	request, body, err := frame.ReadRequest(bufio.NewReader(r.Body))
	if err != nil {
		t.Errorf("reading the exec request: %v", err)
		return
	}
	data, err := io.ReadAll(body)
	if err != nil {
		t.Errorf("reading the body of the exec request: %v", err)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	a.mu.Lock()
	a.calls = append(a.calls, request)
	a.mu.Unlock()
	w.Header().Set("Content-Type", frame.ContentType)
	ident := frame.Ident{RequestID: request.GetRequestId(), AttemptID: request.GetAttemptId(), Incarnation: a.name}
	flush := func() { _ = http.NewResponseController(w).Flush() }
	a.exec(t, &execCall{w: frame.NewWriter(w, flush, ident, nil), out: w, request: request, body: data, ctx: r.Context(), ident: ident, remote: r.RemoteAddr})
}

func (a *fakeAgent) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.calls)
}

func (a *fakeAgent) candidate() routing.Candidate {
	return routing.Candidate{Runner: a.name, Address: strings.TrimPrefix(a.server.URL, "http://"), Incarnation: a.name, Region: "r", Version: "v1"}
}

// generateAll generates all words, or those after the resumed text.
func generateAll(t *testing.T, c *execCall) {
	_ = c.w.WriteAccepted(&ferrypb.Accepted{Status: 200})
	from := int(c.request.GetResumeTokens())
	if want := strings.Join(generatedWords[:from], ""); c.request.GetResumeText() != want {
		t.Errorf("resumed text: %q, want %q", c.request.GetResumeText(), want)
	}
	for _, word := range generatedWords[from:] {
		_ = c.w.WriteData([]byte(word), 1)
	}
	_ = c.w.WriteEnd(frame.Summary{FinishReason: "stop", PromptTokens: 7, CompletionTokens: uint32(len(generatedWords))})
}

// generatePart generates words up to the n-th, without an end frame.
func generatePart(c *execCall, n int) {
	_ = c.w.WriteAccepted(&ferrypb.Accepted{Status: 200})
	from := int(c.request.GetResumeTokens())
	for _, word := range generatedWords[from:max(from, n)] {
		_ = c.w.WriteData([]byte(word), 1)
	}
}

// closeConnection closes the connection of the call in the middle of the response.
func closeConnection(c *execCall) {
	conn, _, err := http.NewResponseController(c.out).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

type fakeConfig struct {
	emptyConfig
	models   map[string]*object.Model
	services map[string]*object.Service
}

func (c fakeConfig) Model(name string) (*object.Model, bool) {
	m, ok := c.models[name]
	return m, ok
}

func (c fakeConfig) Service(name string) (*object.Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

type fakeRoutes struct {
	agents []*fakeAgent
	others []*fakeAgent
	// incarnation is the agent incarnation of every runner.
	incarnation string
}

func candidates(agents []*fakeAgent) []routing.Candidate {
	var out []routing.Candidate
	for _, a := range agents {
		out = append(out, a.candidate())
	}
	return out
}

func (r fakeRoutes) Holders(string) []routing.Candidate        { return candidates(r.agents) }
func (r fakeRoutes) ServiceRunners(string) []routing.Candidate { return candidates(r.agents) }
func (r fakeRoutes) NonHolders(string) []routing.Candidate     { return candidates(r.others) }
func (r fakeRoutes) Incarnation(string) (string, bool)         { return r.incarnation, true }

type ignoreReports struct{}

func (ignoreReports) RunnerFailed(string)        {}
func (ignoreReports) RunnerResponded(string)     {}
func (ignoreReports) ObserveConfigOffset(uint64) {}

type fixture struct {
	settings  *Settings
	snapshots *Snapshots
	ring      *timeline.Ring
	url       string
	server    *httptest.Server
}

func newFixture(t *testing.T, edit func(*Settings), agents ...*fakeAgent) *fixture {
	t.Helper()
	s := &Settings{}
	if err := settings.Parse("test", []byte(hostSettings), s); err != nil {
		t.Fatal(err)
	}
	s.Limits.FrameTimeout = 300 * time.Millisecond
	s.Limits.RequestTimeout = 5 * time.Second
	s.Routing.ProbeTimeout = 200 * time.Millisecond
	if edit != nil {
		edit(s)
	}
	policy, err := routing.NewPolicy(routing.PolicyProbe, routing.Costs{})
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{settings: s, snapshots: NewSnapshots(), ring: timeline.NewRing("e1", "i", 0, time.Now)}
	f.publish(agents...)
	config := DispatcherConfig{
		Settings: s, Incarnation: "i", Snapshots: f.snapshots, Policy: policy, Executor: NewExecutor(time.Second, time.Minute),
		Agents: NewTwirpAgentClient(&http.Client{Transport: &http.Transport{}}), Reporter: ignoreReports{}, Clock: clock.System{},
		Ring: f.ring, Log: eventlog.Discard(), Metrics: NewMetrics(prometheus.NewRegistry()), Seed: 1,
	}
	d, err := NewDispatcher(config)
	if err != nil {
		t.Fatal(err)
	}
	f.server = httptest.NewUnstartedServer(nil)
	f.server.Config = NewServer(config, d).httpServer()
	f.server.Start()
	t.Cleanup(f.server.Close)
	f.url = f.server.URL
	return f
}

func (f *fixture) publish(agents ...*fakeAgent) {
	f.snapshots.Store(&Snapshot{
		Config: fakeConfig{
			models:   map[string]*object.Model{"m": {Name: "m", Version: "v1", FirstTokenTarget: time.Second, MaxTokens: 100}},
			services: map[string]*object.Service{"booking": {Name: "booking"}},
		},
		Routes:   fakeRoutes{agents: agents},
		CaughtUp: true,
	})
}

// call sends a request and returns the response and its body. The header is given as pairs of name and value.
func (f *fixture) call(t *testing.T, method, path, body string, header ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(data)
}
