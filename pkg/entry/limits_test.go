package entry

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// Guards against invalid requests that are served, get a wrong error code, or affect the next response.
func TestInvalidRequests(t *testing.T) {
	a := newFakeAgent(t, "a", 0, generateAll)
	f := newFixture(t, func(s *Settings) { s.Limits.BodyBytes = 1000; s.Limits.HeaderBytes = 2000 }, a)
	chat := "/v1/chat/completions"
	tests := map[string]struct {
		method, path, body string
		header             []string
		want               failure.Code
	}{
		"not json":          {"POST", chat, "{", nil, failure.BadRequest},
		"no model":          {"POST", chat, `{"messages":[]}`, nil, failure.BadRequest},
		"no messages":       {"POST", chat, `{"model":"m"}`, nil, failure.BadRequest},
		"unknown model":     {"POST", chat, `{"model":"x","messages":[{"role":"user","content":"hi"}]}`, nil, failure.NotFound},
		"two choices":       {"POST", chat, chatBody + `"n":2}`, nil, failure.BadRequest},
		"too many tokens":   {"POST", "/v1/completions", `{"model":"m","prompt":"x","max_tokens":101}`, nil, failure.BadRequest},
		"large body":        {"POST", chat, strings.Repeat("x", 1001), nil, failure.BodyTooLarge},
		"large header":      {"POST", chat, "", []string{"X-Large", strings.Repeat("x", 2000)}, failure.HeaderTooLarge},
		"unknown workspace": {"POST", chat, chatBody + `"n":1}`, []string{headerWorkspace, "w"}, failure.Unauthorized},
		"unknown path":      {"GET", "/v2", "", nil, failure.NotFound},
		"wrong method":      {"GET", chat, "", nil, failure.MethodNotAllowed},
		"unknown service":   {"GET", "/services/none/x", "", nil, failure.NotFound},
		"bad key":           {"POST", "/services/booking/x", "", []string{headerKey, "a b"}, failure.BadRequest},
	}
	for name, tt := range tests {
		response, body := f.call(t, tt.method, tt.path, tt.body, tt.header...)
		var e errorBody
		if err := json.Unmarshal([]byte(body), &e); err != nil || e.Error.Code != string(tt.want) || response.StatusCode != tt.want.Status() || e.Error.Outcome != "not_run" {
			t.Errorf("%s: status %d, body %s, want status %d, code %s and outcome not_run", name, response.StatusCode, body, tt.want.Status(), tt.want)
		}
	}
	if a.count() != 0 {
		t.Fatalf("exec calls for invalid requests: %d, want 0", a.count())
	}
	if _, body := f.call(t, "POST", chat, chatBody+`"n":1}`); !strings.Contains(body, strings.Join(generatedWords, "")) {
		t.Fatalf("response after invalid requests: %s, want the whole text", body)
	}
}

// Guards against a slow body that keeps a request open, and against the rest of that body being read as another
// request.
func TestSlowBody(t *testing.T) {
	f := newFixture(t, func(s *Settings) { s.Limits.BodyTimeout = 100 * time.Millisecond }, newFakeAgent(t, "a", 0, generateAll))
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{"))
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	buffer := make([]byte, 4096)
	n, err := conn.Read(buffer)
	if err != nil || !strings.HasPrefix(string(buffer[:n]), "HTTP/1.1 408") || !strings.Contains(string(buffer[:n]), "Connection: close") {
		t.Fatalf("slow body: error %v, response %q, want status 408 and Connection: close", err, buffer[:n])
	}
}

// Guards against a refusal while a copy is about to become ready, and against a wait beyond the deadline.
func TestRequestWaitsForCopy(t *testing.T) {
	f := newFixture(t, func(s *Settings) { s.Limits.RequestTimeout = 400 * time.Millisecond })
	response, _ := f.call(t, "POST", "/v1/chat/completions", chatBody+`"n":1}`)
	if got := response.Header.Get(headerOutcome); response.StatusCode == http.StatusOK || got != "not_run" {
		t.Fatalf("without a copy until the deadline: status %d and outcome %q, want an error status and not_run", response.StatusCode, got)
	}
	a := newFakeAgent(t, "a", 0, generateAll)
	time.AfterFunc(100*time.Millisecond, func() { f.publish(a) })
	if response, body := f.call(t, "POST", "/v1/chat/completions", chatBody+`"n":1}`); response.StatusCode != http.StatusOK {
		t.Fatalf("with a copy after 100 ms: status %d, body %s, want 200", response.StatusCode, body)
	}
}

// Guards against requests that fail while the only runner with a copy restarts, which takes longer than all attempts.
func TestRequestWaitsForRestartedRunner(t *testing.T) {
	a := newFakeAgent(t, "a", 0, generateAll)
	stopped := newFakeAgent(t, "a", 0, generateAll)
	stopped.server.Close()
	f := newFixture(t, nil, stopped)
	time.AfterFunc(time.Second, func() { f.publish(a) })
	response, body := f.call(t, "POST", "/v1/chat/completions", chatBody+`"n":1}`)
	if response.StatusCode != http.StatusOK {
		t.Fatalf("request during a restart of 1 s: status %d, body %s, want 200", response.StatusCode, body)
	}
}

// Guards against a stream that is not resumed because the request had to wait for a copy before.
func TestStreamResumesAfterWait(t *testing.T) {
	calls := 0
	a := newFakeAgent(t, "a", 0, func(t *testing.T, c *execCall) {
		calls++
		switch {
		case calls <= 6:
			_ = c.w.WriteFail(failure.New(failure.NotLoaded, failure.NotRun, "not loaded yet"))
		case calls == 7:
			generatePart(c, 2)
			closeConnection(c)
		default:
			generateAll(t, c)
		}
	})
	f := newFixture(t, nil, a)
	_, body := f.call(t, "POST", "/v1/chat/completions", chatBody+`"stream":true}`)
	if text, _, done, failed := eventText(t, body); text != strings.Join(generatedWords, "") || done != 1 || failed != 0 {
		t.Fatalf("events of the resumed stream: %s, want the whole text, one [DONE] and no error", body)
	}
}

// Guards against retries beyond the budget, and against a refusal without a Retry-After header.
func TestUsedUpBudgetStopsRetries(t *testing.T) {
	a := newFakeAgent(t, "a", 0, func(_ *testing.T, c *execCall) {
		_ = c.w.WriteFail(failure.New(failure.Overloaded, failure.NotRun, "full"))
	})
	f := newFixture(t, func(s *Settings) { s.Retry.Burst = 1; s.Retry.PerSecond = 0; s.Retry.Ratio = 0 }, a)
	_, _ = f.call(t, "POST", "/v1/chat/completions", chatBody+`"n":1}`)
	before := a.count()
	response, body := f.call(t, "POST", "/v1/chat/completions", chatBody+`"n":1}`)
	if response.StatusCode != 503 || response.Header.Get(headerRetryAfter) == "" || !strings.Contains(body, string(failure.RetryBudgetExhausted)) || a.count() != before+1 {
		t.Fatalf("without a budget: %d exec calls, want 1; status %d, want 503 with Retry-After and code %s; body %s", a.count()-before, response.StatusCode, failure.RetryBudgetExhausted, body)
	}
}

// Guards against requests that fail because probes are lost, and against unmet demand for which no hint is sent.
func TestProbesAndHints(t *testing.T) {
	silent := newFakeAgent(t, "a", 0, generateAll)
	silent.ignoreProbes = true
	f := newFixture(t, nil, silent)
	if response, body := f.call(t, "POST", "/v1/chat/completions", chatBody+`"n":1}`); response.StatusCode != 200 {
		t.Fatalf("request without a response to probes: status %d, body %s, want 200", response.StatusCode, body)
	}
	slow := newFakeAgent(t, "slow", time.Minute, generateAll)
	other := newFakeAgent(t, "other", 0, generateAll)
	f.publish(slow)
	next := *f.snapshots.Load()
	next.Routes = fakeRoutes{agents: []*fakeAgent{slow}, others: []*fakeAgent{other}}
	f.snapshots.Store(&next)
	for range 5 {
		_, _ = f.call(t, "POST", "/v1/chat/completions", chatBody+`"n":1}`)
	}
	time.Sleep(100 * time.Millisecond)
	other.mu.Lock()
	defer other.mu.Unlock()
	if other.hints != 1 {
		t.Fatalf("hints within a second: %d, want 1", other.hints)
	}
}
