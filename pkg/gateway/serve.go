package gateway

import (
	"context"
	"net/http"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/retry"
)

const (
	// refusedTries bounds the servers that may refuse one request; each refusal counts as a repeated arrival.
	refusedTries = 2
	// unreachedTries bounds the servers that one request tries to connect to in vain.
	unreachedTries = 4
	// hopeless is the share of the remaining time that a predicted first token may take.
	hopeless = 0.8
)

// progress is what has happened to a request over its attempts.
type progress struct {
	// outcome is the least certain one over all attempts.
	outcome failure.Outcome
	// sent counts attempts that may have run, refused those that a server refused, unreached those that reached none.
	sent      int
	refused   int
	unreached int
	last      *failure.Failure
	// whole is the last complete failure answer of a server.
	whole *wholeAnswer
	relay *relay
}

// serve makes attempts until the request is answered or nothing more can be done.
func (f *Forwarder) serve(ctx context.Context, w http.ResponseWriter, j *job) {
	if !j.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, j.deadline)
		defer cancel()
	}
	p := &progress{outcome: failure.NotRun, relay: &relay{w: w, codec: f.codec, lastEvent: j.meta.LastEventID}}
	for {
		c, fail := f.pick(ctx, j, p)
		if fail == nil {
			a := f.try(ctx, j, c, p)
			if a.fail == nil {
				f.finish(w, j, c, p, a)
				return
			}
			fail = a.fail
			p.note(a)
			j.tried[c.server.ID] = true
			f.logAttempt(j, c, p, fail)
			if f.again(j, p, fail) {
				continue
			}
		}
		f.giveUp(w, j, p, fail)
		return
	}
}

func (p *progress) note(a attempt) {
	p.outcome = retry.Combine(p.outcome, a.fail.Outcome)
	p.last = a.fail
	if a.whole != nil {
		p.whole = a.whole
	}
	switch {
	case unreached(a.fail):
		p.unreached++
	case a.fail.Outcome == failure.NotRun:
		p.refused++
	default:
		p.sent++
	}
}

// unreached reports whether an attempt failed before any byte reached a server.
func unreached(fail *failure.Failure) bool {
	return fail.Code == failure.ConnectFailed && fail.Outcome == failure.NotRun
}

// again reports whether the request may be sent once more, and spends the budget for it. An attempt that reached no server
// was no arrival, so what follows it needs no budget of its own.
func (f *Forwarder) again(j *job, p *progress, fail *failure.Failure) bool {
	now := time.Now()
	state := retry.State{
		Now: now, Attempts: p.sent, MaxAttempts: j.route.MaxAttempts,
		Delivered: p.relay.started, Resumable: j.route.Resumable,
	}
	if p.refused > refusedTries || p.unreached > unreachedTries {
		return false
	}
	if retry.Next(state, fail, j.route.Repeatable(), j.deadline).Action == retry.GiveUp {
		return false
	}
	if !unreached(fail) && !f.budgets.take(j.service.Name, f.control.daemons(), now) {
		f.log.Log(eventlog.BudgetEmpty, "request", j.meta.RequestID, "service", j.service.Name)
		return false
	}
	return true
}

// pick chooses a server, waiting for one that holds the model if that can still be in time.
func (f *Forwarder) pick(ctx context.Context, j *job, p *progress) (*choice, *failure.Failure) {
	c, ok := f.chooser.choose(j, f.control.View(), f.backend.tracker, time.Now())
	if !ok && j.needsModel() && p.sent == 0 {
		c, ok = f.await(ctx, j)
	}
	if !ok {
		if f := contextFailure(ctx); f != nil {
			return nil, f
		}
		return nil, failure.New(failure.NoBackend, failure.NotRun, "no server can run the request").WithRetryAfter(noBackendRetry)
	}
	if remaining := j.remaining(time.Now()); remaining > 0 && !p.relay.started && float64(c.predicted) > hopeless*float64(remaining) {
		return nil, failure.New(failure.TargetMissed, failure.NotRun, "no server can begin in time").WithRetryAfter(c.predicted / 2)
	}
	return &c, nil
}

// await waits until a server holds the model and adapter.
func (f *Forwarder) await(ctx context.Context, j *job) (choice, bool) {
	f.demand.waiting(demandKey(j), 1)
	defer f.demand.waiting(demandKey(j), -1)
	limit := time.NewTimer(modelWait(j, time.Now()))
	defer limit.Stop()
	for {
		view := f.control.View()
		if c, ok := f.chooser.choose(j, view, f.backend.tracker, time.Now()); ok {
			return c, true
		}
		select {
		case <-view.Changed:
		case <-limit.C:
			return choice{}, false
		case <-ctx.Done():
			return choice{}, false
		}
	}
}

const (
	// modelWaitShare is the share of the remaining time that a request waits for its model; the rest is for its run.
	modelWaitShare = 0.6
	// maxModelWait covers a load from the store behind another one.
	maxModelWait = 3500 * time.Millisecond
)

func modelWait(j *job, now time.Time) time.Duration {
	remaining := j.remaining(now)
	if remaining == 0 {
		return maxModelWait
	}
	return min(time.Duration(float64(remaining)*modelWaitShare), maxModelWait)
}

func contextFailure(ctx context.Context) *failure.Failure {
	switch ctx.Err() {
	case nil:
		return nil
	case context.Canceled:
		return failure.New(failure.ClientCancelled, failure.NotRun, "the caller left")
	default:
		return failure.New(failure.DeadlineExpired, failure.NotRun, "the deadline passed before a server was found")
	}
}

func (f *Forwarder) logAttempt(j *job, c *choice, p *progress, fail *failure.Failure) {
	f.log.Log(eventlog.AttemptFailed, "request", j.meta.RequestID, "route", j.route.Name, "server", c.server.ID,
		"code", fail.Code, "outcome", fail.Outcome, "sent", p.sent, "refused", p.refused, "unreached", p.unreached, "predicted", c.predicted,
		"report_age", c.reportAge, "reason", fail)
	f.metrics.attemptFailed(fail)
}
