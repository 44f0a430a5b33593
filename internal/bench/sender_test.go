package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// sendTo sends a request through a sender whose first entry host refuses connections and whose second one is served by
// handler.
func sendTo(t *testing.T, a *Arrival, handler http.HandlerFunc) *Observation {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	s := NewSender([]string{"http://127.0.0.1:1", server.URL}, time.Now())
	defer s.Close()
	return s.Send(context.Background(), a)
}

func testQuestion() *Arrival {
	return &Arrival{ID: "q", Class: Question, Member: Member{Name: "m", Model: "m"}, PromptTokens: 80, OutputTokens: 4}
}

func writeChunk(w io.Writer, text string) {
	_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", text)
}

// Guards against a sender that misinterprets the responses of entry hosts, or that does not try the next entry host
// when a connection is refused.
func TestSendGeneration(t *testing.T) {
	a := testQuestion()
	_, prompt := generationBody(a)
	full := expectedText(a, prompt)
	tests := map[string]struct {
		id       string
		status   int
		write    func(io.Writer)
		complete bool
		wrong    bool
		code     failure.Code
		outcome  failure.Outcome
	}{
		"complete": {"q", 200, func(w io.Writer) { writeChunk(w, full); _, _ = io.WriteString(w, "data: [DONE]\n\n") }, true, false, "", ""},
		"error event": {"q", 200, func(w io.Writer) {
			writeChunk(w, full[:4])
			_, _ = io.WriteString(w, "event: error\ndata: {\"error\":{\"code\":\"truncated\",\"outcome\":\"unknown\"}}\n\n")
		}, false, false, failure.Truncated, failure.Unknown},
		"refused": {"q", 503, func(w io.Writer) {
			_, _ = io.WriteString(w, `{"error":{"code":"overloaded","outcome":"not_run"}}`)
		}, false, false, failure.Overloaded, failure.NotRun},
		"no error body":   {"q", 502, func(io.Writer) {}, false, false, failure.ConnectionLost, failure.Unknown},
		"silent end":      {"q", 200, func(w io.Writer) { writeChunk(w, full) }, false, true, "", ""},
		"foreign request": {"p", 200, func(w io.Writer) { writeChunk(w, full); _, _ = io.WriteString(w, "data: [DONE]\n\n") }, false, true, "", ""},
	}
	for name, test := range tests {
		o := sendTo(t, a, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(headerRequestID, test.id)
			w.WriteHeader(test.status)
			test.write(w)
		})
		if o.Entry != 1 || o.Complete != test.complete || (o.WrongReason != "") != test.wrong || o.Code != test.code || o.Outcome != test.outcome {
			t.Errorf("%s: observation %+v, want entry host 1, Complete %v, WrongReason set %v, code %q, outcome %v",
				name, o, test.complete, test.wrong, test.code, test.outcome)
		}
	}
}

// Guards against accepting the response of another call.
func TestSendCall(t *testing.T) {
	a := &Arrival{ID: "c", Class: ServiceCall, Member: Member{Name: "booking"}, Key: "k", Nonce: 5}
	for key, complete := range map[string]bool{"k": true, "other": false} {
		o := sendTo(t, a, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			_, _ = fmt.Fprintf(w, `{"path":"/crews","body":%q,"idempotency_key":%q}`, body, key)
		})
		if o.Complete != complete || (o.WrongReason == "") != complete {
			t.Errorf("response with key %q: observation %+v, want Complete %v and WrongReason set %v", key, o, complete, !complete)
		}
	}
}
