package gateway

import (
	"context"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
)

const (
	// wholeLimitShare of the target latency is how long a repeatable request waits for a silent server before it is
	// sent elsewhere; the rest of the target is for the second server.
	wholeLimitShare = 0.75
	// streamLimitTargets times the target latency is how long a resumable stream waits for its first event.
	streamLimitTargets = 2
	// predictionSlack times the predicted time is waited at least.
	predictionSlack = 3
)

// try sends the request to the chosen server and delivers its answer or the events of its stream.
func (f *Forwarder) try(ctx context.Context, j *job, c *choice, p *progress) attempt {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	tokens := c.prefill
	f.backend.tracker.Begin(c.server.ID, tokens)
	defer func() { f.backend.tracker.End(c.server.ID, tokens) }()
	first := func() {
		f.backend.tracker.FirstToken(c.server.ID, tokens)
		tokens = 0
	}
	if j.service.Engine != nil {
		f.backend.tracker.Remember(c.server.ID, j.chain, j.service.Engine.CacheTokens)
	}
	watchdog := f.watch(j, c, p, cancel)
	lastEvent := ""
	if p.relay.started {
		lastEvent = p.relay.lastEvent
		f.log.Log(eventlog.StreamResumed, "request", j.meta.RequestID, "server", c.server.ID, "after_event", lastEvent)
	}
	resp, answer, fail := f.backend.open(ctx, j, c, lastEvent)
	if fail != nil {
		watchdog()
		if fail.Code == failure.WrongIncarnation {
			f.backend.tracker.Denied(c.server.ID, j.meta.Model, j.meta.Adapter, time.Now())
		}
		return attempt{fail: f.judge(ctx, c, fail)}
	}
	f.backend.tracker.Answered(c.server.ID)
	if j.whole() || resp.Status != 200 || !answer.Signed {
		a := readWhole(resp, answer)
		watchdog()
		if a.fail != nil {
			a.fail = f.judge(ctx, c, a.fail)
		}
		if p.relay.started && a.fail == nil {
			a.fail = failure.New(failure.EngineFailed, failure.Ran, "the server did not continue the stream")
		}
		return a
	}
	defer resp.Close()
	fail = p.relay.run(ctx, cancel, resp, stallLimit(j), func() { watchdog(); first() })
	watchdog()
	if fail != nil {
		return attempt{fail: f.judge(ctx, c, fail), delivered: p.relay.started}
	}
	return attempt{delivered: true}
}

// watch cancels the attempt if the server stays silent while the request can still be sent elsewhere.
func (f *Forwarder) watch(j *job, c *choice, p *progress, cancel context.CancelCauseFunc) func() {
	if !j.route.Repeatable() || c.candidates < 2 || p.sent+1 >= j.route.MaxAttempts {
		return func() {}
	}
	limit := time.Duration(float64(j.route.TargetLatency) * wholeLimitShare)
	if !j.whole() {
		limit = max(streamLimitTargets*j.route.TargetLatency, predictionSlack*c.predicted)
	}
	timer := time.AfterFunc(limit, func() { cancel(errStalled) })
	return func() { timer.Stop() }
}

func stallLimit(j *job) time.Duration {
	if !j.route.Resumable || j.route.MaxPause <= 0 {
		return 0
	}
	return max(stallFactor*j.route.MaxPause, minStall)
}

// judge corrects a failure whose cause only the attempt knows, and avoids servers that do not answer.
func (f *Forwarder) judge(ctx context.Context, c *choice, fail *failure.Failure) *failure.Failure {
	if fail.Code == failure.ClientCancelled && context.Cause(ctx) == errStalled {
		fail = failure.Wrap(failure.ConnectionLost, fail.Outcome, "the server did not go on in time", fail)
	}
	if unreached(fail) {
		f.backend.tracker.Unreached(c.server.ID, time.Now())
	}
	switch fail.Code {
	case failure.ConnectFailed, failure.ConnectionLost, failure.Truncated:
		now := time.Now()
		if f.backend.tracker.Failed(c.server.ID, now) {
			f.log.Log(eventlog.ServerSuspected, "server", c.server.ID, "code", fail.Code, "report_age", c.reportAge)
		}
	default:
	}
	return fail
}
