package entry

import (
	"net/http"
	"strconv"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
)

// wholeSink buffers a generation and answers once it is complete.
type wholeSink struct {
	w     http.ResponseWriter
	form  openaiForm
	limit int
	text  []byte
}

func newWholeSink(w http.ResponseWriter, form openaiForm, limit int) *wholeSink {
	return &wholeSink{w: w, form: form, limit: limit}
}

// Accepted implements Sink.
func (s *wholeSink) Accepted(*ferrypb.Accepted) error { return nil }

// Data implements Sink.
func (s *wholeSink) Data(payload []byte) error {
	if len(s.text)+len(payload) > s.limit {
		return answerTooLarge()
	}
	s.text = append(s.text, payload...)
	return nil
}

// Discard implements Sink.
func (s *wholeSink) Discard() { s.text = nil }

// Delivered implements Sink.
func (s *wholeSink) Delivered() bool { return false }

// End implements Sink.
func (s *wholeSink) End(u Usage) error {
	s.w.Header().Set("Content-Type", "application/json")
	s.w.Header().Set(headerOutcome, string(failure.Ran))
	body := s.form.whole(string(s.text), u)
	s.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	return callerGone(s.w.Write(body))
}

func answerTooLarge() error {
	return failure.New(failure.ServiceFailed, failure.Ran, "the answer is above the limit answer_bytes")
}

// callerGone converts the error of a write to the caller. It takes the results of Write.
func callerGone(_ int, err error) error {
	if err == nil {
		return nil
	}
	return failure.Wrap(failure.ClientCancelled, failure.Unknown, "the caller's connection is closed", err)
}
