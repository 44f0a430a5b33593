package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/frame"
)

// faults are the ways in which an agent fails a generation.
var faults = map[string]script{
	"refuses": func(_ *testing.T, c *execCall) {
		_ = c.w.Fail(failure.New(failure.Leaving, failure.NotRun, "leaving"))
	},
	"lags in configuration": func(_ *testing.T, c *execCall) {
		_ = c.w.Fail(failure.New(failure.NotFound, failure.NotRun, "no such adapter"))
	},
	"restarted": func(_ *testing.T, c *execCall) {
		next := frame.Ident{RequestID: c.ident.RequestID, AttemptID: c.ident.AttemptID, Incarnation: "next"}
		_ = frame.NewWriter(c.out, nil, next, nil).Fail(failure.New(failure.WrongIncarnation, failure.NotRun, "restarted"))
	},
	"dies before the first byte": func(_ *testing.T, c *execCall) { cut(c) },
	"dies after accepted":        func(_ *testing.T, c *execCall) { tellPart(c, 0); cut(c) },
	"dies in mid-stream":         func(_ *testing.T, c *execCall) { tellPart(c, 3); cut(c) },
	"dies before the end":        func(_ *testing.T, c *execCall) { tellPart(c, 5); cut(c) },
	"truncates silently":         func(_ *testing.T, c *execCall) { tellPart(c, 2) },
	"engine fails in mid-stream": func(_ *testing.T, c *execCall) {
		tellPart(c, 2)
		_ = c.w.Fail(failure.New(failure.EngineFailed, failure.Unknown, "engine"))
	},
	"repeats a frame": func(_ *testing.T, c *execCall) { tellPart(c, 2); raw(c, 2, c.ident, "two ") },
	"skips a frame":   func(_ *testing.T, c *execCall) { tellPart(c, 2); raw(c, 4, c.ident, "four ") },
	"crosses in another request": func(_ *testing.T, c *execCall) {
		tellPart(c, 2)
		raw(c, 3, frame.Ident{RequestID: "x", AttemptID: c.ident.AttemptID, Incarnation: c.ident.Incarnation}, "secret")
	},
	"crosses in another attempt": func(_ *testing.T, c *execCall) {
		tellPart(c, 2)
		raw(c, 3, frame.Ident{RequestID: c.ident.RequestID, AttemptID: "x", Incarnation: c.ident.Incarnation}, "secret")
	},
	"answers as another instance": func(_ *testing.T, c *execCall) {
		tellPart(c, 2)
		raw(c, 3, frame.Ident{RequestID: c.ident.RequestID, AttemptID: c.ident.AttemptID, Incarnation: "x"}, "secret")
	},
	"falls silent": func(_ *testing.T, c *execCall) {
		tellPart(c, 2)
		<-c.ctx.Done()
	},
	"sends no frames": func(_ *testing.T, c *execCall) {
		c.out.Header().Set("Content-Type", "text/plain")
		_, _ = c.out.Write([]byte("secret"))
	},
}

func raw(c *execCall, seq uint64, id frame.Ident, text string) {
	f := &ferrypb.Frame{RequestId: id.RequestID, AttemptId: id.AttemptID, Incarnation: id.Incarnation, Seq: seq}
	f.Body = &ferrypb.Frame_Data{Data: &ferrypb.Data{Payload: []byte(text), Tokens: 1}}
	_, _ = protodelim.MarshalTo(c.out, f)
	_ = http.NewResponseController(c.out).Flush()
	<-c.ctx.Done()
}

// eventText returns the text, the usage and the end of an event stream.
func eventText(t *testing.T, body string) (text string, usage *openaiUsage, done, failed int) {
	t.Helper()
	for _, event := range strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n") {
		if strings.HasPrefix(event, "event: error\n") {
			failed++
			continue
		}
		data := strings.TrimPrefix(event, "data: ")
		if data == "[DONE]" {
			done++
			continue
		}
		var chunk openaiAnswer
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatalf("event %q: %v", event, err)
		}
		if chunk.Usage != nil {
			usage = chunk.Usage
		}
		for _, c := range chunk.Choices {
			if c.Delta != nil && c.Delta.Content != nil {
				text += *c.Delta.Content
			}
		}
	}
	return text, usage, done, failed
}

const chatBody = `{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":50,`

// Guards against an answer that is short, doubled or mixed after any failure of a runner, and against wrong usage.
func TestGenerationSurvivesEveryFault(t *testing.T) {
	want := strings.Join(story, "")
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			bad := newFakeAgent(t, "bad", time.Millisecond, fault)
			good := newFakeAgent(t, "good", 50*time.Millisecond, tellStory)
			f := newFixture(t, nil, bad, good)
			response, body := f.call(t, "POST", "/v1/chat/completions", chatBody+`"stream":true,"stream_options":{"include_usage":true}}`)
			text, usage, done, failed := eventText(t, body)
			if response.StatusCode != 200 || text != want || done != 1 || failed != 0 {
				t.Fatalf("stream: %d %q done %d failed %d", response.StatusCode, text, done, failed)
			}
			if usage == nil || usage.CompletionTokens != uint32(len(story)) || usage.PromptTokens != 7 {
				t.Fatalf("usage %+v", usage)
			}
			response, body = f.call(t, "POST", "/v1/chat/completions", chatBody+`"stream":false}`)
			var whole openaiAnswer
			if err := json.Unmarshal([]byte(body), &whole); err != nil || response.StatusCode != 200 || *whole.Choices[0].Message.Content != want {
				t.Fatalf("whole: %d %s", response.StatusCode, body)
			}
			if bad.count() != 2 {
				t.Fatalf("the failing runner got %d of 2 requests", bad.count())
			}
			last := good.calls[len(good.calls)-1]
			if last.GetMaxTokens() != 50-last.GetResumeTokens() {
				t.Errorf("max_tokens %d after %d resumed tokens", last.GetMaxTokens(), last.GetResumeTokens())
			}
		})
	}
}

// Guards against a failure that looks like an answer when no runner works: before the first byte it needs a status
// and an outcome, after it an error event without [DONE].
func TestGenerationFailsClearly(t *testing.T) {
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(s *Settings) { s.Retry.MaxAttempts = 2; s.Limits.RequestTimeout = 2 * time.Second }, newFakeAgent(t, "a", 0, fault), newFakeAgent(t, "b", 0, fault))
			response, body := f.call(t, "POST", "/v1/chat/completions", chatBody+`"stream":true}`)
			if response.StatusCode == 200 {
				text, _, done, failed := eventText(t, body)
				if !strings.HasPrefix(strings.Join(story, ""), text) || done != 0 || failed != 1 {
					t.Fatalf("stream: %s", body)
				}
			}
			response, body = f.call(t, "POST", "/v1/chat/completions", chatBody+`"stream":false}`)
			var e errorBody
			if err := json.Unmarshal([]byte(body), &e); err != nil || response.StatusCode < 500 || e.Error.Code == "" {
				t.Fatalf("whole: %d %s", response.StatusCode, body)
			}
			want := failure.Unknown
			if name == "refuses" || name == "restarted" || name == "lags in configuration" {
				want = failure.NotRun
			}
			if got := response.Header.Get(headerOutcome); got != string(want) || e.Error.Outcome != got || e.Error.RequestID != response.Header.Get(headerRequestID) {
				t.Fatalf("outcome %q: %s", got, body)
			}
		})
	}
}

func answerService(_ *testing.T, c *execCall) {
	_ = c.w.Accepted(&ferrypb.Accepted{Status: 201, Header: []*ferrypb.Header{{Name: "X-Seat", Value: "4"}, {Name: "Connection", Value: "x"}}})
	_ = c.w.Data([]byte(c.request.GetMethod()+" "+c.request.GetPath()+" "+string(c.body)), 0)
	_ = c.w.End(frame.Summary{})
}

// Guards against a second run of a call that must not be repeated, and against a missing retry of one that may.
func TestServiceCallsRunOnce(t *testing.T) {
	refuse := faults["refuses"]
	lost := faults["dies before the first byte"]
	partial := func(_ *testing.T, c *execCall) {
		_ = c.w.Accepted(&ferrypb.Accepted{Status: 200})
		_ = c.w.Data([]byte("half"), 0)
	}
	tests := map[string]struct {
		method, key string
		fault       script
		calls       int
		status      int
		outcome     string
	}{
		"post refused":   {"POST", "", refuse, 2, 201, "ran"},
		"post lost":      {"POST", "", lost, 1, 502, "unknown"},
		"post truncated": {"POST", "", partial, 1, 502, "unknown"},
		"get lost":       {"GET", "", lost, 2, 201, "ran"},
		"get truncated":  {"GET", "", partial, 2, 201, "ran"},
		"keyed lost":     {"POST", "k1", lost, 2, 201, "ran"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			first := true
			once := func(t *testing.T, c *execCall) {
				if first {
					first = false
					tt.fault(t, c)
					return
				}
				answerService(t, c)
			}
			a := newFakeAgent(t, "a", 0, once)
			f := newFixture(t, nil, a)
			response, body := f.call(t, tt.method, "/services/booking/seats/a%2Fb?x=1", "payload", headerKey, tt.key)
			if a.count() != tt.calls || response.StatusCode != tt.status || response.Header.Get(headerOutcome) != tt.outcome {
				t.Fatalf("%d calls, %d %s %s", a.count(), response.StatusCode, response.Header.Get(headerOutcome), body)
			}
			if tt.status == 201 && (body != tt.method+" /seats/a%2Fb?x=1 payload" || response.Header.Get("X-Seat") != "4") {
				t.Fatalf("answer %q %v", body, response.Header)
			}
			if got := a.calls[0]; got.GetIdempotent() != (tt.method == "GET") || got.GetIdempotencyKey() != tt.key {
				t.Fatalf("idempotent %v key %q", got.GetIdempotent(), got.GetIdempotencyKey())
			}
		})
	}
}
