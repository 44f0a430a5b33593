package entry

import (
	"net/http"
	"regexp"
	"time"

	"github.com/google/uuid"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/timeline"
)

// requestHandler serves one request. The endpoint records the returned failure, and writes it to the caller unless the
// handler has already started a response.
type requestHandler func(w http.ResponseWriter, r *http.Request, id string) *failure.Failure

// writeGrace is the time that a slow caller gets to read the response after the request's deadline.
const writeGrace = 5 * time.Second

// requestIDPattern matches the request ids accepted from callers. Others are replaced, because ids are written to logs
// and headers.
var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// endpoint wraps a handler with what all requests have in common: the request id, limits, admission, error responses, and
// records in log, metrics and timeline.
func (s *Server) endpoint(kind string, op requestHandler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := requestID(r)
		t := &trackingWriter{ResponseWriter: w}
		t.Header().Set(headerRequestID, id)
		if s.snapshots.Load().Draining {
			t.Header().Set("Connection", "close")
		}
		s.setWriteDeadline(w)
		s.ring.Add(timeline.Event{Kind: timeline.RequestReceived, RequestID: id, Detail: kind})
		f := s.admit(r)
		if f == nil {
			f = op(t, r, id)
		}
		if f != nil && !t.started {
			writeFailure(t, id, f)
		}
		s.recordResult(kind, id, f)
	})
}

// setWriteDeadline bounds the time in which the caller reads the response. It is set for every request, because the
// deadline of an earlier request on the same connection would otherwise still apply.
func (s *Server) setWriteDeadline(w http.ResponseWriter) {
	limits := s.settings.Limits
	deadline := s.clock.Now().Add(limits.BodyTimeout + limits.RequestTimeout + writeGrace)
	// This fails only for response writers without a connection, as in tests.
	_ = http.NewResponseController(w).SetWriteDeadline(deadline)
}

func requestID(r *http.Request) string {
	if id := r.Header.Get(headerRequestID); requestIDPattern.MatchString(id) {
		return id
	}
	return uuid.NewString()
}

// admit refuses requests with too large a header, and all requests before configuration and routes have been read.
func (s *Server) admit(r *http.Request) *failure.Failure {
	if headerBytes(r) > s.settings.Limits.HeaderBytes {
		return failure.New(failure.HeaderTooLarge, failure.NotRun, "the request header is too large")
	}
	if !s.snapshots.Load().CaughtUp {
		return failure.New(failure.NotReady, failure.NotRun, "the entry host has not yet read the configuration and the placement")
	}
	return nil
}

// headerBytes returns the size of the request header in bytes, as sent.
func headerBytes(r *http.Request) int {
	const separators = 4
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

func (s *Server) recordResult(kind, id string, f *failure.Failure) {
	if f == nil {
		s.metrics.recordRequest(kind, string(failure.Ran), "ok")
		s.ring.Add(timeline.Event{Kind: timeline.RequestDone, RequestID: id})
		return
	}
	s.metrics.recordRequest(kind, string(f.Outcome), string(f.Code))
	s.ring.Add(timeline.Event{Kind: timeline.RequestFailed, RequestID: id, Detail: string(f.Code) + " " + string(f.Outcome)})
	s.log.Log(eventlog.RequestFailed, "request", id, "kind", kind, "code", string(f.Code), "outcome", string(f.Outcome), "error", f.Error())
}
