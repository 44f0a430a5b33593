package entry

import (
	"net/http"
	"strconv"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
)

// bufferedSink buffers a generation and sends it to the caller once it is complete.
type bufferedSink struct {
	w        http.ResponseWriter
	form     openaiEncoder
	maxBytes int
	text     []byte
}

func newBufferedSink(w http.ResponseWriter, form openaiEncoder, limit int) *bufferedSink {
	return &bufferedSink{w: w, form: form, maxBytes: limit}
}

// Accepted implements Sink.
func (s *bufferedSink) Accepted(*ferrypb.Accepted) error { return nil }

// Data implements Sink.
func (s *bufferedSink) Data(payload []byte) error {
	if len(s.text)+len(payload) > s.maxBytes {
		return responseTooLarge()
	}
	s.text = append(s.text, payload...)
	return nil
}

// Discard implements Sink.
func (s *bufferedSink) Discard() { s.text = nil }

// Delivered implements Sink.
func (s *bufferedSink) Delivered() bool { return false }

// End implements Sink.
func (s *bufferedSink) End(u Usage) error {
	s.w.Header().Set("Content-Type", "application/json")
	s.w.Header().Set(headerOutcome, string(failure.Ran))
	body := s.form.response(string(s.text), u)
	s.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	return callerWriteError(s.w.Write(body))
}

func responseTooLarge() error {
	return failure.New(failure.ServiceFailed, failure.Ran, "the response is larger than the limit answer_bytes")
}

// callerWriteError converts the error of a write to the caller. Its parameters match the results of Write.
func callerWriteError(_ int, err error) error {
	if err == nil {
		return nil
	}
	return failure.Wrap(failure.ClientCancelled, failure.Unknown, "the caller's connection is closed", err)
}
