package entry

import (
	"net/http"
	"unicode/utf8"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
)

// streamSink delivers a generation as server-sent events. The status line is sent with the first text, so that
// failures before it are answered with their own status.
type streamSink struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	form         openaiForm
	includeUsage bool
	delivered    bool
	// rest holds the leading bytes of a character whose other bytes have not arrived.
	rest []byte
}

func newStreamSink(w http.ResponseWriter, form openaiForm, includeUsage bool) *streamSink {
	return &streamSink{w: w, control: http.NewResponseController(w), form: form, includeUsage: includeUsage}
}

// Accepted implements Sink.
func (s *streamSink) Accepted(*ferrypb.Accepted) error { return nil }

// Data implements Sink.
func (s *streamSink) Data(payload []byte) error {
	s.rest = append(s.rest, payload...)
	whole := wholeRunes(s.rest)
	if whole == 0 {
		return nil
	}
	text := string(s.rest[:whole])
	s.rest = s.rest[whole:]
	first := !s.delivered
	return s.event("", s.form.chunk(text, first, ""))
}

// Discard implements Sink.
func (s *streamSink) Discard() { s.rest = nil }

// Delivered implements Sink.
func (s *streamSink) Delivered() bool { return s.delivered }

// End implements Sink.
func (s *streamSink) End(u Usage) error {
	if err := s.flushRest(); err != nil {
		return err
	}
	first := !s.delivered
	if err := s.event("", s.form.chunk("", first, u.FinishReason)); err != nil {
		return err
	}
	if s.includeUsage {
		if err := s.event("", s.form.usage(u)); err != nil {
			return err
		}
	}
	return s.event("", []byte("[DONE]"))
}

func (s *streamSink) flushRest() error {
	if len(s.rest) == 0 {
		return nil
	}
	first := !s.delivered
	return s.event("", s.form.chunk(string(s.rest), first, ""))
}

// fail ends a delivered stream with an error event and without [DONE].
func (s *streamSink) fail(f *failure.Failure) {
	// A caller that is gone cannot be told.
	_ = s.event("error", failureBody(s.form.id, f))
}

func (s *streamSink) event(name string, data []byte) error {
	if !s.delivered {
		s.start()
	}
	var line []byte
	if name != "" {
		line = append(line, "event: "+name+"\n"...)
	}
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	if err := callerGone(s.w.Write(line)); err != nil {
		return err
	}
	return callerGone(0, s.control.Flush())
}

func (s *streamSink) start() {
	s.delivered = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(headerOutcome, string(failure.Ran))
	s.w.WriteHeader(http.StatusOK)
}

// wholeRunes returns the length of text without an incomplete character at its end.
func wholeRunes(text []byte) int {
	for back := 1; back <= min(utf8.UTFMax, len(text)); back++ {
		if !utf8.RuneStart(text[len(text)-back]) {
			continue
		}
		if utf8.FullRune(text[len(text)-back:]) {
			return len(text)
		}
		return len(text) - back
	}
	return len(text)
}
