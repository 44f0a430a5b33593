package gateway

import (
	"context"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
)

// takeover offers the request of a silent server to another one.
type takeover struct {
	*attempt
	p *progress
	// silent is the id of the silent server.
	silent string
}

// watchSilence watches an attempt whose request may be offered to another server while this one is silent. ctx is that of
// the request.
func (f *Forwarder) watchSilence(ctx context.Context, a *attempt, p *progress) *silenceWatch {
	if !a.j.route.Retryable() {
		return unwatched()
	}
	return newSilenceWatch(responseLimit(a.j, a.choice), deadAfter(a.j), a.cancel, func(s silence) taker {
		next := f.takeOver(a.j, a.choice, p, s)
		if next == nil {
			return nil
		}
		return &takeover{attempt: f.newAttempt(ctx, a.j, next, p.relay), p: p, silent: a.choice.server.ID}
	})
}

// ask sends the request.
func (t *takeover) ask(sending func()) bool {
	t.openBeside(sending)
	// A panic is passed on by the goroutine that reads the response.
	return t.panicked != nil || t.declined() == nil
}

// settled logs who has the request. A server that has declined it is recorded like one whose attempt has failed.
func (t *takeover) settled(step handoverStep) {
	f := t.f
	f.metrics.recordHandover(step)
	f.log.Log(eventlog.HandoverSettled, "request", t.j.meta.RequestID, "from", t.silent, "to", t.choice.server.ID, "result", step, "took", time.Since(t.began))
	switch step {
	case handoverStay:
		result := attemptResult{head: t.meta.Head, fail: t.declined()}
		if t.fail != nil {
			result = t.failed()
		}
		t.discard()
		f.returnRepeat(t.j, result.fail)
		t.p.recordDeclined(t.j, t.choice.server.ID, result)
		f.logAttempt(t.j, t.choice, t.p, &result)
	case handoverWithdraw:
		t.cancel(errWithdrawn)
		t.p.recordWithdrawn(t.choice.server.ID)
	case handoverMove, handoverNone:
	}
}

// release ends the attempt after the request was withdrawn.
func (t *takeover) release() {
	if t.fail != nil {
		t.f.returnRepeat(t.j, t.fail)
	}
	t.discard()
}

// responseLimit returns the time after which a server that has not begun to respond counts as silent; 0 for none.
func responseLimit(j *job, c *choice) time.Duration {
	if j.bufferResponse() {
		return time.Duration(float64(j.route.TargetLatency) * bufferedTimeoutShare)
	}
	return max(streamTimeoutFactor*j.route.TargetLatency, predictionTimeoutFactor*c.predicted)
}

// deadAfter returns the silence after which the server of a request is presumed dead. A sound server sends nothing of a
// buffered response before it is complete.
func deadAfter(j *job) time.Duration {
	limit := presumedDeadAfter
	if j.bufferResponse() {
		limit = max(limit, lateResponseFactor*j.route.TargetLatency)
	}
	if j.deadline.IsZero() {
		return limit
	}
	return min(limit, time.Duration(presumedDeadShare*float64(j.deadline.Sub(j.arrived))))
}

// takeOver returns another server for a request whose server is silent, and spends the retry budget for it; nil if the
// request has to stay where it is.
func (f *Forwarder) takeOver(j *job, c *choice, p *progress, s silence) *choice {
	now := time.Now()
	next, why := f.chooseTakeover(j, c, p, !s.dead && !j.hedged(), now)
	if s.repeated && next == nil {
		return nil
	}
	to := ""
	if next != nil {
		to = next.server.ID
	}
	f.logSilence(j, c, to, why, s)
	if s.begun && f.backend.tracker.RecordFailure(c.server.ID, now) {
		f.log.Log(eventlog.ServerSuspected, "server", c.server.ID, "silent", s.length, "report_age", c.reportAge)
	}
	return next
}

// logSilence logs and counts a silent server. to is the server that gets the request, why the reason if there is none.
func (f *Forwarder) logSilence(j *job, c *choice, to string, why obstacle, s silence) {
	f.metrics.recordSilence(why)
	f.log.Log(eventlog.ServerSilent, "request", j.meta.RequestID, "route", j.route.Name, "server", c.server.ID,
		"silent", s.length, "begun", s.begun, "dead", s.dead, "to", to, "not_moved", why)
}

// chooseTakeover returns the server for another attempt beside one that is in progress, or why there is none. Only a
// server that is not suspected will do: the present one may still complete the response. mayGoOn is set if the present one
// loses the request only to a server that begins to serve it in time.
func (f *Forwarder) chooseTakeover(j *job, c *choice, p *progress, mayGoOn bool, now time.Time) (*choice, obstacle) {
	if !p.mayOffer(j.route.MaxAttempts, mayGoOn) {
		return nil, obstacleAttempts
	}
	if f.board.Match(j.parts, now) != nil || (p.suspect && !f.board.Survived(j.parts)) {
		return nil, obstaclePrompt
	}
	next, ok := f.chooser.choose(p.offerJob(j, c.server.ID, mayGoOn), f.control.View(), f.backend.tracker, now)
	if !ok || now.Before(f.backend.tracker.Suspects()[next.server.ID]) || j.tooLate(&next, now) {
		return nil, obstacleServer
	}
	if mayGoOn && next.predicted > handoverLimit {
		return nil, obstacleSlow
	}
	if !f.backend.availability.Admit(incarnationOf(&next.server), now) {
		return nil, obstacleServer
	}
	if !f.takeRepeat(j) {
		return nil, obstacleQuota
	}
	if !f.budgets.take(j.service.Name, f.control.daemonCount(), now) {
		return nil, obstacleBudget
	}
	f.backend.limits.RecordSend(next.server.ID, now)
	return &next, ""
}
