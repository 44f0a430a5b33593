package entry

import (
	"net/http"
	"unicode/utf8"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
)

// streamSink sends a generation to the caller as server-sent events. The status line is sent with the first text, so that
// earlier failures can still be reported with their own status.
type streamSink struct {
	w            http.ResponseWriter
	control      *http.ResponseController
	form         openaiEncoder
	includeUsage bool
	delivered    bool
	// pending holds the first bytes of a UTF-8 character that has not arrived completely.
	pending []byte
}

func newStreamSink(w http.ResponseWriter, form openaiEncoder, includeUsage bool) *streamSink {
	return &streamSink{w: w, control: http.NewResponseController(w), form: form, includeUsage: includeUsage}
}

// Accepted implements Sink.
func (s *streamSink) Accepted(*ferrypb.Accepted) error { return nil }

// Data implements Sink.
func (s *streamSink) Data(payload []byte) error {
	s.pending = append(s.pending, payload...)
	whole := completeRunesLen(s.pending)
	if whole == 0 {
		return nil
	}
	text := string(s.pending[:whole])
	s.pending = s.pending[whole:]
	first := !s.delivered
	return s.writeEvent("", s.form.chunk(text, first, ""))
}

// Discard implements Sink.
func (s *streamSink) Discard() { s.pending = nil }

// Delivered implements Sink.
func (s *streamSink) Delivered() bool { return s.delivered }

// End implements Sink.
func (s *streamSink) End(u Usage) error {
	if err := s.flushPending(); err != nil {
		return err
	}
	first := !s.delivered
	if err := s.writeEvent("", s.form.chunk("", first, u.FinishReason)); err != nil {
		return err
	}
	if s.includeUsage {
		if err := s.writeEvent("", s.form.usage(u)); err != nil {
			return err
		}
	}
	return s.writeEvent("", []byte("[DONE]"))
}

func (s *streamSink) flushPending() error {
	if len(s.pending) == 0 {
		return nil
	}
	first := !s.delivered
	return s.writeEvent("", s.form.chunk(string(s.pending), first, ""))
}

// endWithError ends a stream that was partly delivered with an error event, without [DONE].
func (s *streamSink) endWithError(f *failure.Failure) {
	// The error is ignored: a caller that has closed the connection cannot receive it.
	_ = s.writeEvent("error", failureBody(s.form.id, f))
}

// writeEvent sends an event, preceded by the header if it is the first; an empty name makes it an unnamed event.
func (s *streamSink) writeEvent(name string, data []byte) error {
	if !s.delivered {
		s.writeHeader()
	}
	var line []byte
	if name != "" {
		line = append(line, "event: "+name+"\n"...)
	}
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	if err := callerWriteError(s.w.Write(line)); err != nil {
		return err
	}
	return callerWriteError(0, s.control.Flush())
}

func (s *streamSink) writeHeader() {
	s.delivered = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(headerOutcome, string(failure.Ran))
	s.w.WriteHeader(http.StatusOK)
}

// completeRunesLen returns the length in bytes of text without an incomplete UTF-8 character at its end.
func completeRunesLen(text []byte) int {
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
