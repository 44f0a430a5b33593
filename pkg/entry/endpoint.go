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

// operation serves one request. A returned failure is answered by the endpoint; an operation that has already
// told its failure to the caller returns it wrapped as told.
type operation func(w http.ResponseWriter, r *http.Request, id string) *failure.Failure

// writeGrace is the time for an answer to reach a slow caller after the request's deadline.
const writeGrace = 5 * time.Second

// requestIDPattern admits the usual identifiers; others are replaced, because ids go into logs and headers.
var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// endpoint gives every request its id, the common limits, and its record in log, metrics and timeline.
func (s *Server) endpoint(kind string, op operation) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := requestID(r)
		t := &tracker{ResponseWriter: w}
		t.Header().Set(headerRequestID, id)
		if s.snapshots.Load().Draining {
			t.Header().Set("Connection", "close")
		}
		s.limitWriting(w)
		s.ring.Add(timeline.Event{Kind: timeline.RequestReceived, RequestID: id, Detail: kind})
		f := s.admit(r)
		if f == nil {
			f = op(t, r, id)
		}
		if f != nil && !t.wrote {
			writeFailure(t, id, f)
		}
		s.finish(kind, id, f)
	})
}

// limitWriting bounds the time in which a caller reads its answer. The deadline of an earlier request
// on the connection would else stay in force.
func (s *Server) limitWriting(w http.ResponseWriter) {
	limits := s.settings.Limits
	deadline := s.clock.Now().Add(limits.BodyTimeout + limits.RequestTimeout + writeGrace)
	// It fails only for writers without a connection, as in tests.
	_ = http.NewResponseController(w).SetWriteDeadline(deadline)
}

func requestID(r *http.Request) string {
	if id := r.Header.Get(headerRequestID); requestIDPattern.MatchString(id) {
		return id
	}
	return uuid.NewString()
}

// admit checks what all requests have in common.
func (s *Server) admit(r *http.Request) *failure.Failure {
	if headerBytes(r) > s.settings.Limits.HeaderBytes {
		return failure.New(failure.HeaderTooLarge, failure.NotRun, "the request header is too large")
	}
	if !s.snapshots.Load().CaughtUp {
		return failure.New(failure.NotReady, failure.NotRun, "the entry host has not read the configuration yet")
	}
	return nil
}

// headerBytes returns the size of the request header as sent, but for the casing of its line ends.
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

func (s *Server) finish(kind, id string, f *failure.Failure) {
	if f == nil {
		s.metrics.request(kind, string(failure.Ran), "ok")
		s.ring.Add(timeline.Event{Kind: timeline.RequestDone, RequestID: id})
		return
	}
	s.metrics.request(kind, string(f.Outcome), string(f.Code))
	s.ring.Add(timeline.Event{Kind: timeline.RequestFailed, RequestID: id, Detail: string(f.Code) + " " + string(f.Outcome)})
	s.log.Log(eventlog.RequestFailed, "request", id, "kind", kind, "code", string(f.Code), "outcome", string(f.Outcome), "error", f.Error())
}
