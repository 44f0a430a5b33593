package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/retry"
	"trefoilferry.example/ferry/pkg/routing"
	"trefoilferry.example/ferry/pkg/timeline"
	"trefoilferry.example/ferry/pkg/verdict"
)

// Reporter receives what request goroutines learn about other processes. Its methods never block.
type Reporter interface {
	// RunnerFailed reports that a call to a runner failed.
	RunnerFailed(runner string)
	// RunnerResponded reports that a runner responded to a call.
	RunnerResponded(runner string)
	// ObserveConfigOffset reports the configuration offset of another process.
	ObserveConfigOffset(offset uint64)
}

// Dispatcher serves requests through exec calls to agents: it chooses a runner for each attempt, retries failed
// attempts and resumes generations. It is safe for concurrent use.
type Dispatcher struct {
	settings      *Settings
	incarnation   string
	snapshots     *Snapshots
	modelPolicy   *routing.Policy
	servicePolicy *routing.Policy
	prober        *Prober
	hints         *HintSender
	executor      *Executor
	budget        *retryBudget
	reporter      Reporter
	clock         clock.Clock
	ring          *timeline.Ring
	log           *eventlog.Logger
	metrics       *Metrics
	versions      *replacedVersions
	seed          uint64
	requestCount  atomic.Uint64
}

// DispatcherConfig holds the dependencies of a dispatcher; all are required.
type DispatcherConfig struct {
	Settings *Settings
	// Incarnation is the incarnation of this daemon.
	Incarnation string
	Snapshots   *Snapshots
	Policy      *routing.Policy
	Executor    *Executor
	Agents      AgentClient
	Reporter    Reporter
	Clock       clock.Clock
	Ring        *timeline.Ring
	Log         *eventlog.Logger
	Metrics     *Metrics
	// Seed seeds the random number generators of requests.
	Seed uint64
}

// NewDispatcher returns a dispatcher. It chooses the runners of services at random, without probes.
func NewDispatcher(p DispatcherConfig) (*Dispatcher, error) {
	services, err := routing.NewPolicy(routing.PolicyRandom, routing.Costs{})
	if err != nil {
		return nil, err
	}
	return &Dispatcher{
		settings:      p.Settings,
		incarnation:   p.Incarnation,
		snapshots:     p.Snapshots,
		modelPolicy:   p.Policy,
		servicePolicy: services,
		prober:        newProber(p),
		hints:         newHintSender(p),
		executor:      p.Executor,
		budget:        newRetryBudget(p.Settings.Retry.limits(), p.Clock.Now()),
		reporter:      p.Reporter,
		clock:         p.Clock,
		ring:          p.Ring,
		log:           p.Log,
		metrics:       p.Metrics,
		versions:      newReplacedVersions(),
		seed:          p.Seed,
	}, nil
}

// Run serves a request and writes the response to sink. It returns nil once sink.End has succeeded, otherwise the
// failure to report to the caller.
func (d *Dispatcher) Run(ctx context.Context, r *Request, sink Sink) *failure.Failure {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	d.budget.recordRequest(d.clock.Now(), r.Target)
	rs := d.newRequestState(r, sink)
	for {
		err := d.tryOnce(ctx, rs)
		if err == nil {
			return nil
		}
		f := d.handleFailure(ctx, rs, failure.From(err))
		if f != nil {
			return f
		}
	}
}

func (d *Dispatcher) newRequestState(r *Request, sink Sink) *requestState {
	return &requestState{
		request:  r,
		sink:     sink,
		rand:     rand.New(rand.NewPCG(d.seed, d.requestCount.Add(1))),
		backoff:  retry.NewBackoff(d.settings.Retry.Base, d.settings.Retry.Cap),
		tried:    map[string]bool{},
		versions: d.versions,
		outcome:  failure.NotRun,
	}
}

// handleFailure decides what follows a failed attempt. It returns the failure to report to the caller, or nil after the
// delay before the next attempt.
func (d *Dispatcher) handleFailure(ctx context.Context, rs *requestState, f *failure.Failure) *failure.Failure {
	if ctx.Err() != nil {
		f = d.contextFailure(ctx, f)
	}
	f = d.asNoBackend(rs, asNotLoaded(f))
	rs.outcome = verdict.Combine(rs.outcome, f.Outcome)
	decision := retry.Next(d.retryState(rs), f, rs.request.retryable(), rs.request.Deadline)
	d.recordFailed(rs, f, decision)
	if decision.Action == retry.GiveUp {
		return rs.finalFailure(f)
	}
	if decision.Action == retry.Resend && !plannedStopCodes[f.Code] && rs.reserved == nil {
		if refused := d.takeRetry(rs, f); refused != nil {
			return rs.finalFailure(refused)
		}
	}
	d.prepareRetry(rs, decision)
	return d.waitBeforeRetry(ctx, rs, decision.Delay)
}

// plannedStopCodes are the refusals of an agent that is shutting down or was replaced. Retries after them do not use
// the retry budget: the runner is avoided after its first refusal, so that only requests already sent to it are
// refused.
var plannedStopCodes = map[failure.Code]bool{
	failure.Leaving:          true,
	failure.WrongIncarnation: true,
}

// finalFailure returns a copy of f whose outcome covers all attempts.
func (rs *requestState) finalFailure(f *failure.Failure) *failure.Failure {
	c := *f
	c.Outcome = rs.outcome
	return &c
}

func (d *Dispatcher) retryState(rs *requestState) retry.State {
	delivered := rs.sink.Delivered()
	delay := rs.backoff.NextBackOff()
	if rs.reserved != nil {
		// The request has already waited for the silent runner.
		delay = 0
	}
	return retry.State{
		Now:         d.clock.Now(),
		Attempts:    rs.attempts,
		MaxAttempts: d.settings.Retry.MaxAttempts,
		Delivered:   delivered,
		Resumable:   delivered && d.resumable(rs),
		Delay:       delay,
	}
}

// resumable reports whether the generation can continue: a runner has a copy of the model version that generated the
// text so far, or will get one because that version is still configured.
func (d *Dispatcher) resumable(rs *requestState) bool {
	if !rs.request.isGeneration() || !rs.hasOutput() {
		return false
	}
	snapshot := d.snapshots.Load()
	if m, ok := snapshot.Config.Model(rs.request.Target); ok && m.Version == rs.version {
		return true
	}
	return len(rs.eligible(snapshot.Holders(rs.request.Target))) > 0
}

// takeRetry takes a retry from the budget. If none is left, it returns the failure to report instead of retrying.
// Resuming a stream uses no budget: it replaces lost work and is bounded by the number of attempts.
func (d *Dispatcher) takeRetry(rs *requestState, f *failure.Failure) *failure.Failure {
	ok, after := d.budget.take(d.clock.Now(), rs.request.Target)
	if ok {
		return nil
	}
	d.log.Log(eventlog.RetryBudgetEmpty, "code", string(f.Code))
	refused := failure.Wrap(failure.RetryBudgetExhausted, f.Outcome, "retry budget is used up because too many attempts fail", f)
	return refused.WithRetryAfter(max(after, time.Second))
}

// prepareRetry discards buffered output that the next attempt cannot resume.
func (d *Dispatcher) prepareRetry(rs *requestState, decision retry.Decision) {
	d.metrics.recordRetry(decision.Action)
	if decision.Action == retry.Resume || rs.sink.Delivered() {
		return
	}
	if !rs.hasOutput() || !d.resumable(rs) {
		rs.discardOutput()
	}
}

// waitBeforeRetry waits for the delay. It returns a failure if the request ends earlier.
func (d *Dispatcher) waitBeforeRetry(ctx context.Context, rs *requestState, delay time.Duration) *failure.Failure {
	select {
	case <-d.clock.After(delay):
		return nil
	case <-ctx.Done():
		waited := failure.New(failure.NoBackend, rs.outcome, "request ended while it waited for a runner")
		return rs.finalFailure(d.contextFailure(ctx, waited))
	}
}

// contextFailure returns the failure of a request that was cancelled or whose deadline has passed.
func (d *Dispatcher) contextFailure(ctx context.Context, f *failure.Failure) *failure.Failure {
	if ctx.Err() == context.DeadlineExceeded {
		return failure.Wrap(failure.DeadlineExceeded, f.Outcome, "the request's deadline has passed", f)
	}
	return failure.Wrap(failure.ClientCancelled, f.Outcome, "the caller cancelled the request", f)
}
