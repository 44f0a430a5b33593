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
)

// Reporter takes what traffic goroutines learn about other processes. Its methods never block.
type Reporter interface {
	// RunnerFailed tells that a runner did not answer.
	RunnerFailed(runner string)
	// RunnerAnswered tells that a runner answered.
	RunnerAnswered(runner string)
	// Observed tells the configuration offset that another process has.
	Observed(offset uint64)
}

// Dispatcher serves requests by exec calls to agents. It is safe for concurrent use.
type Dispatcher struct {
	settings  *Settings
	entry     string
	snapshots *Snapshots
	policy    *routing.Policy
	services  *routing.Policy
	prober    *Prober
	hinter    *Hinter
	executor  *Executor
	budget    *sharedBudget
	reporter  Reporter
	clock     clock.Clock
	ring      *timeline.Ring
	log       *eventlog.Logger
	metrics   *Metrics
	seed      uint64
	requests  atomic.Uint64
}

// DispatcherParts are the parts of a dispatcher; all are required.
type DispatcherParts struct {
	Settings *Settings
	// Entry names the incarnation of this daemon.
	Entry     string
	Snapshots *Snapshots
	Policy    *routing.Policy
	Executor  *Executor
	Agents    Agents
	Reporter  Reporter
	Clock     clock.Clock
	Ring      *timeline.Ring
	Log       *eventlog.Logger
	Metrics   *Metrics
	// Seed starts the random choices.
	Seed uint64
}

// NewDispatcher returns a dispatcher.
func NewDispatcher(p DispatcherParts) (*Dispatcher, error) {
	services, err := routing.NewPolicy(routing.PolicyRandom, routing.Costs{})
	if err != nil {
		return nil, err
	}
	return &Dispatcher{
		settings:  p.Settings,
		entry:     p.Entry,
		snapshots: p.Snapshots,
		policy:    p.Policy,
		services:  services,
		prober:    newProber(p),
		hinter:    newHinter(p),
		executor:  p.Executor,
		budget:    newSharedBudget(p.Settings.Retry.limits(), p.Clock.Now()),
		reporter:  p.Reporter,
		clock:     p.Clock,
		ring:      p.Ring,
		log:       p.Log,
		metrics:   p.Metrics,
		seed:      p.Seed,
	}, nil
}

// Run serves a request into sink. It returns nil after the sink's End, else the failure to be told to the caller.
func (d *Dispatcher) Run(ctx context.Context, r *Request, sink Sink) *failure.Failure {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	d.budget.request(d.clock.Now(), r.Target)
	j := d.newJob(r, sink)
	for {
		err := d.try(ctx, j)
		if err == nil {
			return nil
		}
		f := d.settle(ctx, j, failure.From(err))
		if f != nil {
			return f
		}
	}
}

func (d *Dispatcher) newJob(r *Request, sink Sink) *job {
	return &job{
		request: r,
		sink:    sink,
		rand:    rand.New(rand.NewPCG(d.seed, d.requests.Add(1))),
		backoff: retry.NewBackoff(d.settings.Retry.Base, d.settings.Retry.Cap),
		tried:   map[string]bool{},
		outcome: failure.NotRun,
	}
}

// settle decides what follows a failed attempt. It returns the failure to report, or nil after the delay.
func (d *Dispatcher) settle(ctx context.Context, j *job, f *failure.Failure) *failure.Failure {
	if ctx.Err() != nil {
		f = d.ended(ctx, f)
	}
	f = d.unavailable(j, notYetKnown(f))
	j.outcome = retry.Combine(j.outcome, f.Outcome)
	decision := retry.Next(d.state(j), f, j.request.repeatable(), j.request.Deadline)
	d.noteFailed(j, f, decision)
	if decision.Action == retry.GiveUp {
		return j.report(f)
	}
	if decision.Action == retry.Elsewhere && !planned[f.Code] {
		if refused := d.spend(j, f); refused != nil {
			return j.report(refused)
		}
	}
	d.prepare(j, decision)
	return d.pause(ctx, j, decision.Delay)
}

// planned lists the refusals by which a runner tells of a planned stop or a replacement. Their retries do not spend the
// budget: the runner is avoided from the first one on, so that only requests already on their way to it are refused.
var planned = map[failure.Code]bool{
	failure.Leaving:          true,
	failure.WrongIncarnation: true,
}

// report returns the failure with the outcome over all attempts.
func (j *job) report(f *failure.Failure) *failure.Failure {
	c := *f
	c.Outcome = j.outcome
	return &c
}

func (d *Dispatcher) state(j *job) retry.State {
	delivered := j.sink.Delivered()
	return retry.State{
		Now:         d.clock.Now(),
		Attempts:    j.attempts,
		MaxAttempts: d.settings.Retry.MaxAttempts,
		Delivered:   delivered,
		Resumable:   delivered && d.resumable(j),
		Delay:       j.backoff.NextBackOff(),
	}
}

// resumable reports whether some runner holds the version that generated the text so far, or will hold it again
// because the configuration still publishes it.
func (d *Dispatcher) resumable(j *job) bool {
	if !j.request.generation() || !j.started() {
		return false
	}
	snapshot := d.snapshots.Load()
	if m, ok := snapshot.Config.Model(j.request.Target); ok && m.Version == j.version {
		return true
	}
	return len(j.usable(snapshot.Holders(j.request.Target))) > 0
}

// spend takes a retry from the budget; without one it returns the failure that refuses the retry early.
// Resumed streams do not spend: they replace work that was lost and are bounded by the number of attempts.
func (d *Dispatcher) spend(j *job, f *failure.Failure) *failure.Failure {
	ok, after := d.budget.take(d.clock.Now(), j.request.Target)
	if ok {
		return nil
	}
	d.log.Log(eventlog.BudgetEmpty, "code", string(f.Code))
	refused := failure.Wrap(failure.RetryBudget, f.Outcome, "too many attempts fail at the moment", f)
	return refused.WithRetryAfter(max(after, time.Second))
}

// prepare drops an undelivered answer that cannot be continued.
func (d *Dispatcher) prepare(j *job, decision retry.Decision) {
	d.metrics.retried(decision.Action)
	if decision.Action == retry.Resume || j.sink.Delivered() {
		return
	}
	if !j.started() || !d.resumable(j) {
		j.restart()
	}
}

// pause waits between attempts.
func (d *Dispatcher) pause(ctx context.Context, j *job, delay time.Duration) *failure.Failure {
	select {
	case <-d.clock.After(delay):
		return nil
	case <-ctx.Done():
		waited := failure.New(failure.NoBackend, j.outcome, "ended while waiting for a runner")
		return j.report(d.ended(ctx, waited))
	}
}

// ended returns the failure of a request whose caller is gone or whose deadline has passed.
func (d *Dispatcher) ended(ctx context.Context, f *failure.Failure) *failure.Failure {
	if ctx.Err() == context.DeadlineExceeded {
		return failure.Wrap(failure.DeadlineExpired, f.Outcome, "the request's deadline has passed", f)
	}
	return failure.Wrap(failure.ClientCancelled, f.Outcome, "the caller ended the request", f)
}
