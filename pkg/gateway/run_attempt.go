package gateway

import (
	"context"
	"net/http"
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

// runAttempt sends the request to the chosen server. It returns a buffered response, or writes the events of a stream
// to the caller. c is set to the server of the result if others got the request as well.
func (f *Forwarder) runAttempt(ctx context.Context, j *job, c *choice, p *progress) attemptResult {
	if j.hedged() {
		return f.runHedged(ctx, j, c, p)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := f.watchSilence(j, c, p, cancel)
	defer func() { p.next = watch.stop() }()
	a := f.attempt(ctx, cancel, j, c, p, watch)
	p.keep(a.response)
	return a
}

// attempt sends the request to a server and reads its response. cancel ends ctx; watch is told of the events of a stream.
func (f *Forwarder) attempt(ctx context.Context, cancel context.CancelCauseFunc, j *job, c *choice, p *progress, watch *silenceWatch) attemptResult {
	tokens, began := c.prefill, time.Now()
	f.backend.tracker.BeginAttempt(c.server.ID, tokens)
	defer func() { f.backend.tracker.EndAttempt(c.server.ID, tokens) }()
	prompt := &promptWatch{board: f.board, id: j.meta.RequestID, parts: j.parts}
	complete := false
	defer func() { prompt.end(complete) }()
	stopWatch := f.board.Watch(j.parts, func() { cancel(errBarred) })
	defer stopWatch()
	first := func() {
		now := time.Now()
		prompt.recordFirstEvent(now)
		if !p.relay.started {
			f.backend.recordFirstEvent(j, c, now.Sub(began), now)
			f.metrics.recordPrediction(j, c, now.Sub(began))
		}
		stopWatch()
		f.backend.tracker.RecordFirstToken(c.server.ID, tokens)
		tokens = 0
	}
	if j.service.Engine != nil {
		f.backend.tracker.RecordPrompt(c.server.ID, j.chain, j.service.Engine.CacheTokens)
	}
	lastEvent := ""
	if p.relay.started {
		lastEvent = p.relay.lastEvent
		f.log.Log(eventlog.StreamResumed, "request", j.meta.RequestID, "server", c.server.ID, "after_event", lastEvent)
	}
	resp, respMeta, judged, fail := f.backend.send(ctx, j, c, lastEvent)
	if fail != nil {
		if fail.Code == failure.WrongIncarnation {
			f.backend.tracker.RecordNotLoaded(c.server.ID, j.meta.Model, j.meta.Adapter, time.Now())
		}
		return attemptResult{fail: f.classifyFailure(ctx, j, c, prompt, fail), head: respMeta.Head}
	}
	prompt.begun = true
	f.backend.tracker.RecordResponse(c.server.ID)
	if j.bufferResponse() || resp.Status != http.StatusOK || !judged.Deliverable {
		a := readFullResponse(resp, judged)
		a.head = respMeta.Head
		if a.fail != nil {
			a.fail = f.classifyFailure(ctx, j, c, prompt, a.fail)
		}
		complete = a.fail == nil
		if complete {
			now := time.Now()
			f.backend.recordPlain(j, c, now.Sub(began), now)
			f.metrics.recordPrediction(j, c, now.Sub(began))
		}
		if p.relay.started && a.fail == nil {
			a.fail = failure.New(failure.EngineFailed, failure.Ran, "the server did not resume the stream after event "+lastEvent)
		}
		return a
	}
	defer resp.Close()
	fail = p.relay.run(ctx, resp, watch, eventTimeout(j), first)
	if fail != nil {
		suspect := ctx.Err() == nil && prompt.suspect(time.Now()) != nil
		return attemptResult{fail: f.classifyFailure(ctx, j, c, prompt, fail), delivered: p.relay.started, suspect: suspect, head: respMeta.Head}
	}
	complete = true
	return attemptResult{delivered: true, head: respMeta.Head}
}

// stallTimeout returns the time without an event after which a stream counts as stalled; 0 if the stream cannot be
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
