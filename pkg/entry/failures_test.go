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

// agentFaults are scripts of agents that fail a generation, by the name of the fault.
var agentFaults = map[string]execScript{
	"refuses": func(_ *testing.T, c *execCall) {
		_ = c.w.WriteFail(failure.New(failure.Leaving, failure.NotRun, "leaving"))
	},
	"has not read the configuration": func(_ *testing.T, c *execCall) {
		_ = c.w.WriteFail(failure.New(failure.NotFound, failure.NotRun, "no such adapter"))
	},
	"restarted": func(_ *testing.T, c *execCall) {
		next := frame.Ident{RequestID: c.ident.RequestID, AttemptID: c.ident.AttemptID, Incarnation: "next"}
		_ = frame.NewWriter(c.out, nil, next, nil).WriteFail(failure.New(failure.WrongIncarnation, failure.NotRun, "restarted"))
	},
	"crashes before the first byte": func(_ *testing.T, c *execCall) { closeConnection(c) },
	"crashes after accepted":        func(_ *testing.T, c *execCall) { generatePart(c, 0); closeConnection(c) },
	"crashes in mid-stream":         func(_ *testing.T, c *execCall) { generatePart(c, 3); closeConnection(c) },
	"crashes before the end frame":  func(_ *testing.T, c *execCall) { generatePart(c, 5); closeConnection(c) },
	"ends without an end frame":     func(_ *testing.T, c *execCall) { generatePart(c, 2) },
	"engine fails in mid-stream": func(_ *testing.T, c *execCall) {
		generatePart(c, 2)
		_ = c.w.WriteFail(failure.New(failure.EngineFailed, failure.Unknown, "engine"))
	},
	"repeats a frame": func(_ *testing.T, c *execCall) { generatePart(c, 2); writeRawFrame(c, 2, c.ident, "two ") },
	"skips a frame":   func(_ *testing.T, c *execCall) { generatePart(c, 2); writeRawFrame(c, 4, c.ident, "four ") },
	"sends a frame of another request": func(_ *testing.T, c *execCall) {
		generatePart(c, 2)
		writeRawFrame(c, 3, frame.Ident{RequestID: "x", AttemptID: c.ident.AttemptID, Incarnation: c.ident.Incarnation}, "secret")
	},
	"sends a frame of another attempt": func(_ *testing.T, c *execCall) {
		generatePart(c, 2)
		writeRawFrame(c, 3, frame.Ident{RequestID: c.ident.RequestID, AttemptID: "x", Incarnation: c.ident.Incarnation}, "secret")
	},
	"sends a frame of another incarnation": func(_ *testing.T, c *execCall) {
		generatePart(c, 2)
		writeRawFrame(c, 3, frame.Ident{RequestID: c.ident.RequestID, AttemptID: c.ident.AttemptID, Incarnation: "x"}, "secret")
	},
	"stops sending frames": func(_ *testing.T, c *execCall) {
		generatePart(c, 2)
		<-c.ctx.Done()
	},
	"sends no frames": func(_ *testing.T, c *execCall) {
		c.out.Header().Set("Content-Type", "text/plain")
		_, _ = c.out.Write([]byte("secret"))
	},
}

// writeRawFrame writes a data frame with any sequence number and ids, and waits until the call is cancelled.
func writeRawFrame(c *execCall, seq uint64, id frame.Ident, text string) {
	f := &ferrypb.Frame{RequestId: id.RequestID, AttemptId: id.AttemptID, Incarnation: id.Incarnation, Seq: seq}
	f.Body = &ferrypb.Frame_Data{Data: &ferrypb.Data{Payload: []byte(text), Tokens: 1}}
	_, _ = protodelim.MarshalTo(c.out, f)
	_ = http.NewResponseController(c.out).Flush()
	<-c.ctx.Done()
}

// eventText returns the text and usage of an event stream, and how often it has [DONE] and error events.
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
		var chunk openaiResponse
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

// Guards against responses with missing, repeated or foreign text after a failure of a runner, and against wrong usage.
func TestGenerationSurvivesEveryFault(t *testing.T) {
	want := strings.Join(generatedWords, "")
	for name, fault := range agentFaults {
		t.Run(name, func(t *testing.T) {
			bad := newFakeAgent(t, "bad", time.Millisecond, fault)
			good := newFakeAgent(t, "good", 50*time.Millisecond, generateAll)
			f := newFixture(t, nil, bad, good)
			response, body := f.call(t, "POST", "/v1/chat/completions", chatBody+`"stream":true,"stream_options":{"include_usage":true}}`)
			text, usage, done, failed := eventText(t, body)
			if response.StatusCode != 200 || text != want || done != 1 || failed != 0 {
				t.Fatalf("stream: status %d, text %q, %d [DONE] and %d errors, want 200, %q, 1 and 0", response.StatusCode, text, done, failed, want)
			}
			if usage == nil || usage.CompletionTokens != uint32(len(generatedWords)) || usage.PromptTokens != 7 {
				t.Fatalf("usage: %+v, want 7 prompt tokens and %d completion tokens", usage, len(generatedWords))
			}
			response, body = f.call(t, "POST", "/v1/chat/completions", chatBody+`"stream":false}`)
			var whole openaiResponse
			if err := json.Unmarshal([]byte(body), &whole); err != nil || response.StatusCode != 200 || *whole.Choices[0].Message.Content != want {
				t.Fatalf("complete response: status %d, body %s, want 200 and text %q", response.StatusCode, body, want)
			}
			if bad.count() != 2 {
				t.Fatalf("exec calls to the failing runner: %d, want 2", bad.count())
			}
			last := good.calls[len(good.calls)-1]
			if last.GetMaxTokens() != 50-last.GetResumeTokens() {
				t.Errorf("max_tokens after %d resumed tokens: %d, want %d", last.GetResumeTokens(), last.GetMaxTokens(), 50-last.GetResumeTokens())
			}
		})
	}
}

// Guards against failures that look like a complete response when all runners fail. Before the first byte, the caller
// must get an error status and an outcome; after it, an error event without [DONE].
func TestGenerationFailsClearly(t *testing.T) {
	for name, fault := range agentFaults {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, func(s *Settings) { s.Retry.MaxAttempts = 2; s.Limits.RequestTimeout = 2 * time.Second }, newFakeAgent(t, "a", 0, fault), newFakeAgent(t, "b", 0, fault))
			response, body := f.call(t, "POST", "/v1/chat/completions", chatBody+`"stream":true}`)
			if response.StatusCode == 200 {
				text, _, done, failed := eventText(t, body)
				if !strings.HasPrefix(strings.Join(generatedWords, ""), text) || done != 0 || failed != 1 {
					t.Fatalf("stream: %s, want the start of the text, one error event and no [DONE]", body)
				}
			}
			response, body = f.call(t, "POST", "/v1/chat/completions", chatBody+`"stream":false}`)
			var e errorBody
			if err := json.Unmarshal([]byte(body), &e); err != nil || response.StatusCode < 500 || e.Error.Code == "" {
				t.Fatalf("complete response: status %d, body %s, want a 5xx status and an error code", response.StatusCode, body)
			}
			want := failure.Unknown
			if name == "refuses" || name == "restarted" || name == "has not read the configuration" {
				want = failure.NotRun
			}
			if got := response.Header.Get(headerOutcome); got != string(want) || e.Error.Outcome != got || e.Error.RequestID != response.Header.Get(headerRequestID) {
				t.Fatalf("outcome header %q, want %q; body with the same outcome and the request id of the header: %s", got, want, body)
			}
		})
	}
}

func answerService(_ *testing.T, c *execCall) {
	_ = c.w.WriteAccepted(&ferrypb.Accepted{Status: 201, Header: []*ferrypb.Header{{Name: "X-Seat", Value: "4"}, {Name: "Connection", Value: "x"}}})
	_ = c.w.WriteData([]byte(c.request.GetMethod()+" "+c.request.GetPath()+" "+string(c.body)), 0)
	_ = c.w.WriteEnd(frame.Summary{})
}

// Guards against retries of service calls that may run only once, and against missing retries of those that may run
// more than once.
func TestServiceCallsRunOnce(t *testing.T) {
	refuse := agentFaults["refuses"]
	lost := agentFaults["crashes before the first byte"]
	partial := func(_ *testing.T, c *execCall) {
		_ = c.w.WriteAccepted(&ferrypb.Accepted{Status: 200})
		_ = c.w.WriteData([]byte("half"), 0)
	}
	tests := map[string]struct {
		method, key string
		fault       execScript
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
				t.Fatalf("%d exec calls, status %d and outcome %s, want %d, %d and %s; body %s", a.count(), response.StatusCode, response.Header.Get(headerOutcome), tt.calls, tt.status, tt.outcome, body)
			}
			if tt.status == 201 && (body != tt.method+" /seats/a%2Fb?x=1 payload" || response.Header.Get("X-Seat") != "4") {
				t.Fatalf("response %q with header %v, want the method, path and body of the request and X-Seat 4", body, response.Header)
			}
			if got := a.calls[0]; got.GetIdempotent() != (tt.method == "GET") || got.GetIdempotencyKey() != tt.key {
				t.Fatalf("exec request: idempotent %v and key %q, want %v and %q", got.GetIdempotent(), got.GetIdempotencyKey(), tt.method == "GET", tt.key)
			}
		})
	}
}
