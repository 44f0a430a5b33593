package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"trefoilferry.example/ferry/pkg/bytebudget"
	"trefoilferry.example/ferry/pkg/exchange"
	"trefoilferry.example/ferry/pkg/failure"
)

const (
	// stallTimeoutFactor is multiplied with the route's MaxPause: a stream without an event for that long has stalled.
	stallTimeoutFactor = 3
	// minStallTimeout keeps short preemptions at a runner from being taken for stalls.
	minStallTimeout = 1500 * time.Millisecond
)

// streamRelay writes the events of one stream to the caller, from one or more attempts.
type streamRelay struct {
	w     http.ResponseWriter
	codec Codec
	// out writes the events to w; nil before the first one.
	out *callerStream
	// budget is what out holds events from.
	budget *bytebudget.Budget
	// lastEvent is the id of the last event that was written.
	lastEvent string
	// started is set once the response header has been sent.
	started bool
	// mediaType is that of the response whose header was sent.
	mediaType string
	// unnumbered is set once an event without an id was written after lastEvent, so that no server can tell where to
	// resume the stream.
	unnumbered bool
	// firstAt and lastAt are when the first and the latest events arrived; longestPause is the longest time between two
	// arrivals.
	firstAt      time.Time
	lastAt       time.Time
	longestPause time.Duration
}

// recordArrival updates the times when events have arrived from the server.
func (r *streamRelay) recordArrival(now time.Time) {
	if r.firstAt.IsZero() {
		r.firstAt = now
	} else {
		r.longestPause = max(r.longestPause, now.Sub(r.lastAt))
	}
	r.lastAt = now
}

// firstEvent returns the time from since, the arrival of the request, to the first event; 0 without an event.
func (r *streamRelay) firstEvent(since time.Time) time.Duration {
	if r.firstAt.IsZero() {
		return 0
	}
	return r.firstAt.Sub(since)
}

// start sends the response header unless an earlier attempt has sent it.
func (r *streamRelay) start(resp *exchange.Response) {
	if r.started {
		return
	}
	header := r.w.Header()
	for name, values := range r.codec.ResponseHeader(resp.Header) {
		header[name] = values
	}
	r.w.WriteHeader(resp.Status)
	r.started, r.mediaType = true, mediaType(resp.Header)
}

// run writes the events of one attempt until its stream ends. It reports each event to watch, which takes the server for
// silent if none follows within stall (0 for no limit), and calls onFirst at the first event.
func (r *streamRelay) run(ctx context.Context, resp *exchange.Response, watch *silenceWatch, stall time.Duration, onFirst func()) *failure.Failure {
	resumed, fail := r.resume(resp)
	if fail != nil {
		return fail
	}
	reader := &eventReader{in: resp, hold: resp.Hold}
	watch.expectEvent(stall)
	first := true
	for {
		events, err := reader.next()
		if errors.Is(err, io.EOF) && first && resp.Unframed {
			return failure.New(failure.Truncated, failure.Unknown, "the connection ended before the first event of the stream")
		}
		if errors.Is(err, io.EOF) {
			r.start(resp)
			return resumed.checkEnd()
		}
		if err != nil {
			return r.classifyReadError(ctx, err)
		}
		if events, fail = resumed.admit(events); fail != nil {
			return fail
		}
		if len(events) == 0 {
			continue
		}
		progress := carriesData(events)
		if !watch.pause(progress) {
			return failure.New(failure.Truncated, failure.Unknown, "another server has taken the stream over")
		}
		if progress {
			// Comments and empty events show no progress: a stalled stream may still send them.
			r.recordArrival(time.Now())
			if first {
				first = false
				onFirst()
			}
		}
		if f := r.deliver(ctx, resp, events); f != nil {
			return f
		}
		switch {
		case !progress:
			watch.resume()
		case r.resumable():
			watch.recordEvent(stall)
		default:
			watch.release()
		}
	}
}

// classifyReadError returns the failure for a read error. A takeover shows as a cancellation of the context; its cause
// distinguishes it from a cancellation by the caller.
func (r *streamRelay) classifyReadError(ctx context.Context, err error) *failure.Failure {
	f := failure.From(err)
	if f.Code == failure.ClientCancelled && context.Cause(ctx) == errTakenOver {
		return failure.Wrap(failure.Truncated, failure.Unknown, "the stream stalled", err)
	}
	return f
}

// deliver writes events, or holds them for the caller. It fails if they do not directly follow the last event that was
// written or held.
func (r *streamRelay) deliver(ctx context.Context, resp *exchange.Response, events []byte) *failure.Failure {
	firstID, lastID := eventIDs(events)
	if r.lastEvent != "" && firstID != "" && !isNextEventID(r.lastEvent, firstID) {
		return failure.New(failure.FrameMismatch, failure.Unknown, "the stream goes on with event "+firstID+" after event "+r.lastEvent)
	}
	r.start(resp)
	if r.out == nil {
		r.out = newCallerStream(ctx, r.w, r.budget)
	}
	if fail := r.out.write(ctx, events); fail != nil {
		return fail
	}
	r.unnumbered = endsUnnumbered(events, r.unnumbered)
	if lastID != "" {
		r.lastEvent = lastID
	}
	return nil
}

// finish waits until the caller has taken all events of a stream that is complete.
func (r *streamRelay) finish() *failure.Failure {
	if r.out == nil {
		return nil
	}
	return r.out.finish()
}

// close drops the events that the caller has not taken.
func (r *streamRelay) close() {
	if r.out != nil {
		r.out.close()
	}
}
