package gateway

import (
	"bytes"
	"mime"
	"net/http"
	"strconv"

	"trefoilferry.example/ferry/pkg/exchange"
	"trefoilferry.example/ferry/pkg/failure"
)

// resumption keeps the response to a resumption from the caller until its first event follows the last one that was
// delivered: the server may answer with something else than the rest of the stream.
type resumption struct {
	lastEvent string
	// begun is set once that event has arrived, and from the start for the first server of a stream.
	begun bool
}

// resume returns the resumption for the next attempt. It fails if the response is not of the media type of the stream.
func (r *streamRelay) resume(resp *exchange.Response) (*resumption, *failure.Failure) {
	if !r.started {
		return &resumption{begun: true}, nil
	}
	if fail := wrongContinuation(resp, r.lastEvent, r.mediaType); fail != nil {
		return nil, fail
	}
	return &resumption{lastEvent: r.lastEvent}, nil
}

// wrongContinuation returns why a response cannot be the rest of a stream of the given media type after lastEvent; nil if
// it can.
func wrongContinuation(resp *exchange.Response, lastEvent, wanted string) *failure.Failure {
	if got := mediaType(resp.Header); got != wanted || hasContentCoding(resp.Header) {
		return notResumed(lastEvent, "the response is of type "+strconv.Quote(got))
	}
	return nil
}

// admit returns the events that may be delivered. Before the first event it drops comments and events without data.
func (s *resumption) admit(events []byte) ([]byte, *failure.Failure) {
	for !s.begun && len(events) > 0 {
		end := firstEventEnd(events)
		if !carriesData(events[:end]) {
			events = events[end:]
			continue
		}
		if id, _ := eventIDs(events[:end]); !followsEvent(s.lastEvent, id) {
			return nil, notResumed(s.lastEvent, "the first event has the id "+strconv.Quote(id))
		}
		s.begun = true
	}
	return events, nil
}

// checkEnd fails if the response has ended without an event. That it has ended as whole does not show that the stream
// was complete: if its first server broke off after the last event, the caller resumes it and gets the rest, which is
// nothing; if it broke off before, a regular end would hide that events are missing.
func (s *resumption) checkEnd() *failure.Failure {
	if s.begun {
		return nil
	}
	return notResumed(s.lastEvent, "the response has no events")
}

func notResumed(lastEvent, reason string) *failure.Failure {
	return failure.New(failure.FrameMismatch, failure.Unknown, "the server did not resume the stream after event "+lastEvent+": "+reason)
}

// mediaType returns the media type of a response without its parameters.
func mediaType(h http.Header) string {
	t, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	if err != nil {
		return h.Get("Content-Type")
	}
	return t
}

// firstEventEnd returns the index after the first complete event, or the length of events if there is none.
func firstEventEnd(events []byte) int {
	end := len(events)
	for _, blank := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(events, []byte(blank)); i >= 0 {
			end = min(end, i+len(blank))
		}
	}
	return end
}

// followsEvent reports whether an event with the id next can be the one after the event with the id previous, or the
// first one if previous is empty. Ids that are not numbers cannot be compared; they must differ.
func followsEvent(previous, next string) bool {
	if previous == "" {
		return true
	}
	p, errP := strconv.ParseInt(previous, 10, 64)
	n, errN := strconv.ParseInt(next, 10, 64)
	if errP != nil && errN != nil {
		return next != "" && next != previous
	}
	return errP == nil && errN == nil && n == p+1
}

// resumable reports whether another server can go on with the stream from its last event.
func (r *streamRelay) resumable() bool { return !r.unnumbered }

// endsUnnumbered reports whether the last event with data has no id; before is returned if no event has data.
func endsUnnumbered(events []byte, before bool) bool {
	for len(events) > 0 {
		end := firstEventEnd(events)
		if event := events[:end]; carriesData(event) {
			id, _ := eventIDs(event)
			before = id == ""
		}
		events = events[end:]
	}
	return before
}
