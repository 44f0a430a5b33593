package entry

import (
	"net/http"
	"strconv"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/failure"
)

// serviceSink buffers the response of a service and sends it to the caller once it is complete.
type serviceSink struct {
	w        http.ResponseWriter
	maxBytes int
	accepted *ferrypb.Accepted
	body     []byte
}

func newServiceSink(w http.ResponseWriter, limit int) *serviceSink {
	return &serviceSink{w: w, maxBytes: limit}
}

// Accepted implements Sink.
func (s *serviceSink) Accepted(a *ferrypb.Accepted) error {
	if a.GetStatus() < http.StatusOK || a.GetStatus() > 999 {
		return failure.New(failure.ServiceFailed, failure.Ran, "the service answered with an invalid status: "+strconv.Itoa(int(a.GetStatus())))
	}
	s.accepted = a
	return nil
}

// Data implements Sink.
func (s *serviceSink) Data(payload []byte) error {
	if len(s.body)+len(payload) > s.maxBytes {
		return responseTooLarge()
	}
	s.body = append(s.body, payload...)
	return nil
}

// Discard implements Sink.
func (s *serviceSink) Discard() {
	s.accepted = nil
	s.body = nil
}

// Delivered implements Sink.
func (s *serviceSink) Delivered() bool { return false }

// End implements Sink.
func (s *serviceSink) End(Usage) error {
	h := s.w.Header()
	hop := connectionHeaders(s.accepted.GetHeader())
	for _, field := range s.accepted.GetHeader() {
		if forwardable(field.GetName(), hop) && !entryHeaders[http.CanonicalHeaderKey(field.GetName())] {
			h.Add(field.GetName(), field.GetValue())
		}
	}
	h.Set(headerOutcome, string(failure.Ran))
	if bodyAllowed(int(s.accepted.GetStatus())) {
		h.Set("Content-Length", strconv.Itoa(len(s.body)))
	}
	s.w.WriteHeader(int(s.accepted.GetStatus()))
	if len(s.body) == 0 {
		return nil
	}
	return callerWriteError(s.w.Write(s.body))
}

// bodyAllowed reports whether responses with the status may have a body.
func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
