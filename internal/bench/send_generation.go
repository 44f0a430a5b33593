package bench

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/standin/answer"
)

const chatPath = "/v1/chat/completions"

// generate streams one answer and compares it with the one that the engine stand-in must give.
func (s *Sender) generate(ctx context.Context, o *Observation) {
	body, prompt := generationBody(o.Arrival)
	resp := s.post(ctx, o, chatPath, body)
	if resp == nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		noteError(o, resp)
		return
	}
	if id := resp.Header.Get(headerRequestID); id != o.Arrival.ID {
		o.Wrong = "answer carries request id " + id
	}
	text, done := s.readStream(o, newStreamReader(resp.Body))
	verify(o, prompt, text, done)
}

// readStream reads a stream to its end and reports whether the end was marked.
func (s *Sender) readStream(o *Observation, events *streamReader) (string, bool) {
	var text strings.Builder
	for {
		event, err := events.next()
		switch {
		case errors.Is(err, io.EOF):
			return text.String(), false
		case err != nil:
			o.fail(transportCode(err), failure.Unknown)
			return text.String(), false
		case event.Failure != nil:
			o.fail(event.Failure.Code, event.Failure.Outcome)
			return text.String(), false
		case event.Done:
			return text.String(), true
		}
		if event.Text != "" {
			text.WriteString(event.Text)
			s.notePiece(o, event.Text)
		}
	}
}

func (s *Sender) notePiece(o *Observation, piece string) {
	now := s.since(o.Arrival)
	if o.Tokens == 0 {
		o.FirstToken = now
	} else {
		o.Gaps = append(o.Gaps, now-o.Done)
	}
	o.Done = now
	o.Tokens += answer.Tokens(piece)
	o.ReceivedBytes += len(piece)
}

// verify compares an answer with the expected one. An answer that ends without a marked end and without an error is
// short: callers would take it for whole.
func verify(o *Observation, prompt, text string, done bool) {
	want := expected(o.Arrival, prompt)
	same := strings.TrimSuffix(text, " ") == strings.TrimSuffix(want, " ")
	switch {
	case !strings.HasPrefix(want, text):
		o.Wrong = "answer differs from the expected one"
	case done && !same:
		o.Wrong = "answer is short but marked as complete"
	case !done && o.Code == "":
		o.Wrong = "stream ended without its end mark and without an error"
	}
	o.Whole = done && same && o.Wrong == ""
}

// expected returns the whole answer of the engine stand-in to a request.
func expected(a *Arrival, prompt string) string {
	return answer.Text(a.Member.Model, a.Member.Adapter, prompt, 0, a.AnswerTokens)
}
