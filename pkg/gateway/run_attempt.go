package gateway

import (
	"context"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
)

const (
	// bufferedTimeoutShare is the share of the target latency after which a repeatable request with a buffered response is
	// sent to another server; the rest is left for that server.
	bufferedTimeoutShare = 0.75
	// streamTimeoutFactor is multiplied with the target latency: the least time to wait for the first event of a stream.
	streamTimeoutFactor = 2
	// predictionTimeoutFactor is multiplied with the predicted time to the first event: a stream waits at least that long.
	predictionTimeoutFactor = 3
)

// runAttempt sends the request to the chosen server, or goes on with the attempt at the server that has taken it over. It
// returns a buffered response, or writes the events of a stream to the caller. c is set to the server of the result if
// others got the request as well.
func (f *Forwarder) runAttempt(ctx context.Context, j *job, c *choice, p *progress) attemptResult {
	if j.hedged() {
		return f.runHedged(ctx, j, c, p)
	}
	a, takenOver := p.next, p.next != nil
	p.next = nil
	if !takenOver {
		a = f.newAttempt(ctx, j, c, p.relay)
	}
	defer a.end()
	watch := f.watchSilence(ctx, a, p)
	var result attemptResult
	defer func() { p.next = successor(watch, result.fail == nil) }()
	if !takenOver {
		a.open()
	}
	result = a.read(p.relay, watch)
	p.keep(result.response)
	return result
}

// successor ends the watch of an attempt and returns the attempt at the server that has the request now; nil for none.
// served is set if the ended attempt has served the request.
func successor(watch *silenceWatch, served bool) *attempt {
	t, ok := watch.stop(served).(*takeover)
	if !ok {
		return nil
	}
	if served {
		// The response ended while the request moved.
		t.abandon()
		return nil
	}
	return t.attempt
}

// eventTimeout returns the time without an event after which a stream counts as stalled; 0 if the stream cannot be
// resumed.
func eventTimeout(j *job) time.Duration {
	if !j.route.Resumable || j.route.MaxPause <= 0 {
		return 0
	}
	return max(stallTimeoutFactor*j.route.MaxPause, minStallTimeout)
}

// classifyFailure turns the cancellation by a takeover into ConnectionLost, and records servers that could not
// be reached, did not respond or broke the connection.
func (f *Forwarder) classifyFailure(ctx context.Context, j *job, c *choice, prompt *promptWatch, fail *failure.Failure) *failure.Failure {
	if fail.Code == failure.ClientCancelled && context.Cause(ctx) == errBarred {
		return failure.Wrap(failure.PromptQuarantined, fail.Outcome, "the request was withdrawn from server "+c.server.ID, fail)
	}
	if j.needsModel() && ctx.Err() == nil && f.inService(c.server.ID) && (fail.Code == failure.ConnectionLost || fail.Code == failure.Truncated) {
		now := time.Now()
		f.crashes.recordBroken(&c.server, prompt.suspect(now), now)
	}
	if fail.Code == failure.ClientCancelled && context.Cause(ctx) == errTakenOver {
		fail = failure.Wrap(failure.ConnectionLost, fail.Outcome, "server "+c.server.ID+" did not respond in time", fail)
	}
	if neverReachedServer(fail) {
		f.backend.tracker.RecordUnreached(c.server.ID, time.Now())
	}
	switch fail.Code {
	case failure.ConnectFailed, failure.ConnectionLost, failure.Truncated:
		now := time.Now()
		if f.backend.tracker.RecordFailure(c.server.ID, now) {
			f.log.Log(eventlog.ServerSuspected, "server", c.server.ID, "code", fail.Code, "report_age", c.reportAge)
		}
	default:
	}
	return fail
}

// inService reports whether a server is listed and not leaving. One that leaves ends its connections as planned.
func (f *Forwarder) inService(id string) bool {
	s, ok := f.control.View().Servers[id]
	return ok && !s.Draining && !f.backend.availability.Leaving(incarnationOf(&s))
}
