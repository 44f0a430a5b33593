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

func sendTo(t *testing.T, a *Arrival, answer http.HandlerFunc) *Observation {
	t.Helper()
	server := httptest.NewServer(answer)
	defer server.Close()
	s := NewSender([]string{"http://127.0.0.1:1", server.URL}, time.Now())
	defer s.Close()
	return s.Send(context.Background(), a)
}

func testQuestion() *Arrival {
	return &Arrival{ID: "q", Class: Question, Member: Member{Name: "m", Model: "m"}, PromptTokens: 80, AnswerTokens: 4}
}

func writeChunk(w io.Writer, text string) {
	_, _ = fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", text)
}

// Guards against a sender that misreads the answers of entry hosts, or that does not go on to the next one when a
// connection is refused.
func TestSendGeneration(t *testing.T) {
	a := testQuestion()
	_, prompt := generationBody(a)
	full := expected(a, prompt)
	tests := map[string]struct {
		id      string
		status  int
		write   func(io.Writer)
		whole   bool
		wrong   bool
		code    failure.Code
		outcome failure.Outcome
	}{
		"whole": {"q", 200, func(w io.Writer) { writeChunk(w, full); _, _ = io.WriteString(w, "data: [DONE]\n\n") }, true, false, "", ""},
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
		if o.Entry != 1 || o.Whole != test.whole || (o.Wrong != "") != test.wrong || o.Code != test.code || o.Outcome != test.outcome {
			t.Errorf("%s: got %+v", name, o)
		}
	}
}

// Guards against an answer of another call that is taken for the own one.
func TestSendCall(t *testing.T) {
	a := &Arrival{ID: "c", Class: ServiceCall, Member: Member{Name: "booking"}, Key: "k", Nonce: 5}
	for key, whole := range map[string]bool{"k": true, "other": false} {
		o := sendTo(t, a, func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			_, _ = fmt.Fprintf(w, `{"path":"/crews","body":%q,"idempotency_key":%q}`, body, key)
		})
		if o.Whole != whole || (o.Wrong == "") != whole {
			t.Errorf("key %q: got %+v", key, o)
		}
	}
}
