package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"trefoilferry.example/ferry/pkg/exchange"
	"trefoilferry.example/ferry/pkg/failure"
)

const (
	// stallFactor times the longest pause that is on time is when a stream counts as stalled.
	stallFactor = 3
	// minStall keeps short preemptions at a runner from counting as stalls.
	minStall = 1500 * time.Millisecond
)

// relay delivers the events of one caller's stream, over one or more attempts.
type relay struct {
	w     http.ResponseWriter
	codec Codec
	// lastEvent is the id of the last event that was delivered.
	lastEvent string
	started   bool
	// firstAt and lastAt are when the first and the newest events arrived, longest is the longest pause between events.
	firstAt time.Time
	lastAt  time.Time
	longest time.Duration
}

// arrived notes the arrival of events.
func (r *relay) arrived(now time.Time) {
	if r.firstAt.IsZero() {
		r.firstAt = now
	} else {
		r.longest = max(r.longest, now.Sub(r.lastAt))
	}
	r.lastAt = now
}

// firstEvent returns the time from the arrival of the request to the first event; 0 without one.
func (r *relay) firstEvent(since time.Time) time.Duration {
	if r.firstAt.IsZero() {
		return 0
	}
	return r.firstAt.Sub(since)
}

// start sends the head of the response once.
func (r *relay) start(resp *exchange.Response) {
	if r.started {
		return
	}
	header := r.w.Header()
	for name, values := range r.codec.Relay(resp.Header) {
		header[name] = values
	}
	r.w.WriteHeader(resp.Status)
	r.started = true
}

// run delivers events until the stream ends. onFirst is called when the first event has arrived.
func (r *relay) run(ctx context.Context, cancel context.CancelCauseFunc, resp *exchange.Response, stall time.Duration, onFirst func()) *failure.Failure {
	reader := &eventReader{in: resp}
	var watchdog *time.Timer
	if stall > 0 {
		watchdog = time.AfterFunc(stall, func() { cancel(errStalled) })
		defer watchdog.Stop()
	}
	first := true
	for {
		events, err := reader.next()
		if errors.Is(err, io.EOF) {
			r.start(resp)
			return nil
		}
		if err != nil {
			return r.broken(ctx, err)
		}
		r.arrived(time.Now())
		if watchdog != nil {
			watchdog.Reset(stall)
		}
		if first {
			first = false
			onFirst()
		}
		if f := r.deliver(resp, events); f != nil {
			return f
		}
	}
}

// broken tells a stall, which the watchdog turned into a cancellation, from a caller that left.
func (r *relay) broken(ctx context.Context, err error) *failure.Failure {
	f := failure.From(err)
	if f.Code == failure.ClientCancelled && context.Cause(ctx) == errStalled {
		return failure.Wrap(failure.Truncated, failure.Unknown, "the stream stalled", err)
	}
	return f
}

// deliver writes events that continue the stream and flushes them.
func (r *relay) deliver(resp *exchange.Response, events []byte) *failure.Failure {
	firstID, lastID := eventIDs(events)
	if r.lastEvent != "" && firstID != "" && !follows(r.lastEvent, firstID) {
		return failure.New(failure.FrameMismatch, failure.Unknown, "the stream does not continue after event "+r.lastEvent)
	}
	r.start(resp)
	if _, err := r.w.Write(events); err != nil {
		return failure.Wrap(failure.ClientCancelled, failure.Unknown, "the caller's connection is closed", err)
	}
	if err := http.NewResponseController(r.w).Flush(); err != nil {
		return failure.Wrap(failure.ClientCancelled, failure.Unknown, "the caller's connection is closed", err)
	}
	if lastID != "" {
		r.lastEvent = lastID
	}
	return nil
}
