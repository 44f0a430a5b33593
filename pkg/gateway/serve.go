package gateway

import (
	"context"
	"net/http"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/retry"
	"trefoilferry.example/ferry/pkg/verdict"
)

const (
	// maxRefusals is the number of refusals by servers after which a request is still retried; each counts against the
	// retry budget.
	maxRefusals = 2
	// maxUnreachedAttempts is the number of failed connections after which a request is still retried.
	maxUnreachedAttempts = 4
	// maxPredictedShare is the share of the remaining time that the predicted first token may take; a request whose best
	// server is slower is refused.
	maxPredictedShare = 0.8
)

// progress sums up the attempts of a request.
type progress struct {
	// outcome combines those of all attempts: NotRun only if no attempt can have been executed.
	outcome failure.Outcome
	// sent counts servers that may have executed the request, refused the refusals by servers and unreached the attempts that
	// reached no server.
	sent      int
	refused   int
	unreached int
	// declined holds the servers that have refused an offer of the request while its server was silent.
	declined map[string]bool
	// mayRepeat holds servers that are counted in sent and may get the request again: the route bounds the servers that may
	// execute it. They lost it without having failed.
	mayRepeat map[string]bool
	last      *failure.Failure
	// failureResponse is the last complete error response of a server; nil if none.
	failureResponse *bufferedResponse
	relay           *streamRelay
	// suspect is set once an attempt may have crashed its server by the prompt of the request.
	suspect bool
	// kept holds the buffered responses of all attempts.
	kept []*bufferedResponse
	// obstacle is why the request was not sent again; empty before its last attempt has failed.
	obstacle obstacle
	// next is the attempt at the server that has taken the request over from a silent one; nil for none.
	next *attempt
	// silent is the id of the server from which the request was taken over by the present one; empty for none.
	silent string
}

// serve makes attempts until the request is served or may not be retried.
func (f *Forwarder) serve(ctx context.Context, w http.ResponseWriter, j *job) {
	if !j.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, j.deadline)
		defer cancel()
	}
	p := &progress{outcome: failure.NotRun, relay: &streamRelay{w: w, codec: f.codec, lastEvent: j.meta.LastEventID, budget: f.backend.pool.Budget()}}
	defer f.releaseRequest(j, p)
	for {
		c, fail := f.nextServer(ctx, j, p)
		f.announceClose(w)
		if fail == nil {
			a := f.runAttempt(ctx, j, c, p)
			f.announceClose(w)
			if a.fail == nil {
				a.fail = p.relay.finish()
			}
			if a.fail == nil {
				f.completeRequest(w, j, c, p, a)
				return
			}
			fail = a.fail
			p.record(c.server.ID, a)
			p.recordTried(j, c, fail)
			f.logAttempt(j, c, p, &a)
			if f.allowRetry(j, p, fail) {
				continue
			}
			p.withdraw()
		}
		f.failRequest(w, j, p, fail)
		return
	}
}

// keep keeps a buffered response, nil for none, until the end of the request.
func (p *progress) keep(r *bufferedResponse) {
	if r != nil {
		p.kept = append(p.kept, r)
	}
}

// releaseRequest returns what a request holds at its end.
func (f *Forwarder) releaseRequest(j *job, p *progress) {
	p.relay.close()
	f.recordBacklog(j, p.relay.out)
	p.release()
}

// release returns what the buffered responses hold.
func (p *progress) release() {
	for _, r := range p.kept {
		r.share.Release()
	}
}

// withdraw ends the attempt at the server that has taken the request over, if any: the request is not sent again after all.
func (p *progress) withdraw() {
	if p.next != nil {
		p.next.abandon()
		p.recordWithdrawn(p.next.choice.server.ID)
		p.next = nil
	}
}

// record records a failed attempt at a server.
func (p *progress) record(server string, a attemptResult) {
	p.outcome = verdict.Combine(p.outcome, a.fail.Outcome)
	p.last = a.fail
	p.suspect = p.suspect || a.suspect
	if a.response != nil {
		p.failureResponse = a.response
	}
	switch {
	case neverReachedServer(a.fail):
		p.unreached++
	case a.fail.Outcome == failure.NotRun:
		p.refused++
	default:
		p.countServer(server)
		delete(p.mayRepeat, server)
	}
}

// recordTried excludes the server of a failed attempt. If it took the request over from a silent server and did not run
// it, that one may be asked again: it is only known to have been slow.
func (p *progress) recordTried(j *job, c *choice, fail *failure.Failure) {
	j.tried[c.server.ID] = true
	if p.silent != "" && fail.Outcome == failure.NotRun {
		delete(j.tried, p.silent)
		p.allowRepeat(p.silent)
	}
	p.silent = ""
	if p.next != nil {
		p.silent = c.server.ID
	}
}

// neverReachedServer reports whether an attempt failed before a connection to a server was open.
func neverReachedServer(fail *failure.Failure) bool {
	return fail.Code == failure.ConnectFailed && fail.Outcome == failure.NotRun
}

// allowRetry reports whether the request may be sent again, and records in p why not. It spends the retry budget for it.
// The budget bounds arrivals at servers, so the retry of an attempt that reached no server spends none.
func (f *Forwarder) allowRetry(j *job, p *progress, fail *failure.Failure) bool {
	now := time.Now()
	if p.obstacle = f.retryObstacle(j, p, fail, now); p.obstacle != "" {
		return false
	}
	// chooseTakeover has spent the budget for a takeover already.
	if p.next == nil && !neverReachedServer(fail) && !f.budgets.take(j.service.Name, f.control.daemonCount(), now) {
		p.obstacle = obstacleBudget
		f.log.Log(eventlog.RetryBudgetEmpty, "request", j.meta.RequestID, "service", j.service.Name)
	}
	if p.obstacle == "" && p.next == nil && fail.Outcome != failure.NotRun && !f.takeRepeat(j) {
		p.obstacle = obstacleQuota
	}
	return p.obstacle == ""
}

// retryObstacle returns why a failed request may not be sent again whatever the retry budget holds; empty if it may. A
// request that may have crashed a server is sent again only if servers have survived all of its prompt parts.
func (f *Forwarder) retryObstacle(j *job, p *progress, fail *failure.Failure, now time.Time) obstacle {
	used := p.attemptsUsed()
	state := retry.State{
		Now: now, Attempts: used, MaxAttempts: j.route.MaxAttempts,
		Delivered: p.relay.started, Resumable: j.route.Resumable && p.relay.resumable(),
	}
	switch {
	case p.suspect && !f.board.Survived(j.parts):
		return obstaclePrompt
	case p.refused > maxRefusals || p.unreached > maxUnreachedAttempts || used >= j.route.MaxAttempts:
		return obstacleAttempts
	case retry.Next(state, fail, j.route.Retryable(), j.deadline).Action == retry.GiveUp:
		return obstacleFinal
	default:
		return ""
	}
}

// nextServer returns the server that has taken the request over from a silent one, or chooses one.
func (f *Forwarder) nextServer(ctx context.Context, j *job, p *progress) (*choice, *failure.Failure) {
	if p.next != nil {
		return p.next.choice, nil
	}
	if p.sent > 0 {
		return f.pickServer(ctx, j, p)
	}
	holding, cancel := f.stop.holding(ctx)
	defer cancel()
	c, fail := f.pickServer(holding, j, p)
	if fail != nil && holding.Err() != nil && ctx.Err() == nil {
		return nil, stopFailure("the daemon is stopping and no server took the request")
	}
	return c, fail
}

// pickServer chooses a server. If none has loaded the model, it waits for one, unless an attempt may already have been
// executed. It fails with TargetMissed if the chosen server is predicted to be too late.
func (f *Forwarder) pickServer(ctx context.Context, j *job, p *progress) (*choice, *failure.Failure) {
	j.only = p.onlyServers(p.sent, j.route.MaxAttempts)
	c, ok := f.chooser.choose(j, f.control.View(), f.backend.tracker, time.Now())
	if !ok && p.sent == 0 && mayAwaitServer(j, &c, time.Now()) {
		c, ok = f.waitForServer(ctx, j)
		if fail := f.stillAuthorized(j); fail != nil {
			return nil, fail
		}
	}
	if !ok {
		if f := contextFailure(ctx); f != nil {
			return nil, f
		}
		if c.pause != nil {
			return nil, f.pausedFailure(j, c.pause)
		}
		if c.limited {
			return nil, failure.New(failure.Overloaded, failure.NotRun, "the servers of service "+j.service.Name+" that can run the request take no more requests now").
				WithRetryAfter(max(c.limitWait, limitedRetryAfter))
		}
		return nil, failure.New(failure.NoBackend, failure.NotRun, "no server of service "+j.service.Name+" can run the request").WithRetryAfter(noBackendRetryAfter)
	}
	if now := time.Now(); !p.relay.started && j.tooLate(&c, now) {
		return nil, failure.New(failure.TargetMissed, failure.NotRun, "no server can begin the response in time: predicted after "+c.predicted.String()+
			" with "+j.remaining(now).String()+" left").WithRetryAfter(c.predicted / 2)
	}
	if fail := f.awaitVerdict(ctx, j); fail != nil {
		return nil, fail
	}
	if p.sent == 0 {
		if fail := f.stop.refuseStart(j, &c, time.Now()); fail != nil {
			return nil, fail
		}
	}
	if !f.backend.availability.Admit(incarnationOf(&c.server), time.Now()) {
		// The server has spoken since it was chosen.
		return f.pickServer(ctx, j, p)
	}
	f.backend.limits.RecordSend(c.server.ID, time.Now())
	f.metrics.recordTurned(&c)
	return &c, nil
}

// waitForServer waits until a server that has loaded the model and adapter and may get another request can be chosen;
// false after modelWaitLimit.
func (f *Forwarder) waitForServer(ctx context.Context, j *job) (choice, bool) {
	if j.needsModel() {
		// For servers that take no more requests, too, the remedy is another one with the model.
		f.demand.addWaiting(demandKey(j), 1)
		defer f.demand.addWaiting(demandKey(j), -1)
	}
	j.held = true
	defer func() { j.held = false }()
	limit := time.NewTimer(modelWaitLimit(j, time.Now()))
	defer limit.Stop()
	for {
		view := f.control.View()
		c, ok := f.chooser.choose(j, view, f.backend.tracker, time.Now())
		if ok || (c.pause != nil && !mayAwaitServer(j, &c, time.Now())) {
			return c, ok
		}
		select {
		case <-view.Changed:
		case <-c.pauseEnd():
		case <-limit.C:
			return c, false
		case <-ctx.Done():
			return c, false
		}
	}
}

const (
	// modelWaitShare is the share of the remaining time that a request may wait for its model; the rest is for running it.
	modelWaitShare = 0.6
	// limitedRetryAfter is the least time to wait for a server that takes no more requests now.
	limitedRetryAfter = time.Second
	// maxModelWait covers a load from the store that is queued behind another one.
	maxModelWait = 3500 * time.Millisecond
)

// modelWaitLimit returns how long a request may wait for its model.
func modelWaitLimit(j *job, now time.Time) time.Duration {
	remaining := j.remaining(now)
	if remaining == 0 {
		return maxModelWait
	}
	return min(time.Duration(float64(remaining)*modelWaitShare), maxModelWait)
}

// contextFailure returns the failure for an ended context; nil if ctx has not ended.
func contextFailure(ctx context.Context) *failure.Failure {
	switch ctx.Err() {
	case nil:
		return nil
	case context.Canceled:
		return failure.New(failure.ClientCancelled, failure.NotRun, "the caller cancelled the request")
	default:
		return failure.New(failure.DeadlineExceeded, failure.NotRun, "the deadline passed before a server was found")
	}
}

func (f *Forwarder) logAttempt(j *job, c *choice, p *progress, a *attemptResult) {
	f.log.Log(eventlog.AttemptFailed, "request", j.meta.RequestID, "route", j.route.Name, "server", c.server.ID,
		"code", a.fail.Code, "outcome", a.fail.Outcome, "status", a.head.Status, "declared", a.head.Declared, "signed", a.head.Signed,
		"sent", p.sent, "refused", p.refused, "unreached", p.unreached, "predicted", c.predicted,
		"report_age", c.reportAge, "reason", a.fail)
	f.metrics.recordAttemptFailure(a.fail)
}
