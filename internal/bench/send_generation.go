package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/standin/answer"
)

const chatPath = "/v1/chat/completions"

// generate streams one response and compares it with the expected response of the engine stand-in.
func (s *Sender) generate(ctx context.Context, o *Observation) {
	body, prompt := generationBody(o.Arrival)
	resp := s.post(ctx, o, chatPath, body)
	if resp == nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		recordErrorResponse(o, resp)
		return
	}
	if id := resp.Header.Get(headerRequestID); id != o.Arrival.ID {
		o.WrongReason = "response has request ID " + id + ", want " + o.Arrival.ID
	}
	text, done := s.readStream(o, newStreamReader(resp.Body))
	verifyResponse(o, prompt, text, done)
}

// readStream returns the text of a stream, and whether the stream ended with its end marker. A failure is recorded in o.
func (s *Sender) readStream(o *Observation, events *streamReader) (string, bool) {
	var text strings.Builder
	for {
		event, err := events.next()
		switch {
		case errors.Is(err, io.EOF):
			return text.String(), false
		case err != nil:
			o.recordFailure(transportCode(err), failure.Unknown)
			return text.String(), false
		case event.Failure != nil:
			o.recordFailure(event.Failure.Code, event.Failure.Outcome)
			return text.String(), false
		case event.Done:
			return text.String(), true
		}
		if event.Text != "" {
			text.WriteString(event.Text)
			s.recordChunk(o, event.Text)
		}
	}
}

// recordChunk records the time and size of a received chunk of text.
func (s *Sender) recordChunk(o *Observation, chunk string) {
	now := s.sinceArrival(o.Arrival)
	if o.Tokens == 0 {
		o.FirstToken = now
	} else {
		o.ChunkGaps = append(o.ChunkGaps, now-o.Elapsed)
	}
	o.Elapsed = now
	o.Tokens += answer.CountTokens(chunk)
	o.ReceivedBytes += len(chunk)
}

// verifyResponse compares the text of a response with the expected text and sets o.Complete and o.WrongReason. done
// reports whether the end marker arrived. A response that ends with neither the marker nor an error is wrong, because
// callers would take it for complete.
func verifyResponse(o *Observation, prompt, text string, done bool) {
	want := expectedText(o.Arrival, prompt)
	same := strings.TrimSuffix(text, " ") == strings.TrimSuffix(want, " ")
	switch {
	case !strings.HasPrefix(want, text):
		o.WrongReason = "response differs from the expected one"
	case done && !same:
		o.WrongReason = fmt.Sprintf("response is truncated but marked as complete: got %d of %d bytes", len(text), len(want))
	case !done && o.Code == "":
		o.WrongReason = fmt.Sprintf("stream ended without end marker and without error after %d of %d bytes", len(text), len(want))
	}
	o.Complete = done && same && o.WrongReason == ""
}

// expectedText returns the complete response of the engine stand-in to a request.
func expectedText(a *Arrival, prompt string) string {
	return answer.Text(a.Member.Model, a.Member.Adapter, prompt, 0, a.OutputTokens)
}
