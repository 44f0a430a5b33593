package coordinator

import (
	"context"
	"time"

	"trefoilferry.example/ferry/pkg/availability"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
)

const (
	// refreshInterval is the time between two reads of the report of a runner without orders; each read is billed as a
	// probe.
	refreshInterval = 4 * time.Second
	// stateTimeout bounds one read of a runner's report.
	stateTimeout = 600 * time.Millisecond
	// retryDelay is the delay after a failed read or order.
	retryDelay = 400 * time.Millisecond
	// maxReadsPerStep bounds the reads that one step starts, so that a new holder does not read all reports at once.
	maxReadsPerStep = 6
	// minRecheckAge is the minimum age of a report that is read again because a daemon could not connect to the
	// runner; otherwise a partition of that daemon would cause reads with every plan.
	minRecheckAge = 500 * time.Millisecond
	// expectedReturnTime is how long an unreachable runner is expected to take to return; most crashed runners return
	// within 5 s.
	expectedReturnTime = 5 * time.Second
)

// refreshRunners starts the reads of the reports that are due.
func (c *Coordinator) refreshRunners(ctx context.Context, now time.Time) {
	started := 0
	for _, r := range c.runners {
		due := !r.StateKnown || now.Sub(r.LastRead) > refreshInterval
		if !due || r.Pending != nil || now.Before(r.NotBefore) || started == maxReadsPerStep {
			continue
		}
		started++
		r.NotBefore = now.Add(retryDelay)
		c.background.Go(func() { c.refreshRunner(ctx, r) })
	}
}

// refreshRunner reads and applies the report of a runner. It returns false if the read failed or another incarnation
// answered.
func (c *Coordinator) refreshRunner(ctx context.Context, r *Runner) bool {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	c.mu.Lock()
	address, id := r.Server.Address, r.Server.ID
	c.mu.Unlock()
	state, err := c.client.ReadState(ctx, address, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || state.StartMillis != r.Server.StartMillis {
		r.StateKnown = false
		c.setUnreachable(r, failure.HasCode(err, failure.ConnectFailed), err)
		r.NotBefore = time.Now().Add(retryDelay)
		return false
	}
	c.applyState(r, &state)
	return true
}

// setUnreachable records whether a runner accepts connections. A plan is requested at once, because the runner's
// models may be missing elsewhere.
func (c *Coordinator) setUnreachable(r *Runner, unreachable bool, reason error) {
	if r.Unreachable == unreachable {
		return
	}
	r.Unreachable = unreachable
	if unreachable {
		// A runner that returns has no models loaded and gets no requests until the list names it.
		c.fleet.PollServersFastUntil(time.Now().Add(expectedReturnTime))
		c.log.Log(eventlog.RunnerUnreachable, "server", r.id, "report_age", time.Since(r.LastRead), "models", len(r.Models), "reason", reason)
		c.requestPlan()
	}
}

// requestRefresh makes a read of the runner's report due, because a daemon could not connect to the runner.
func (c *Coordinator) requestRefresh(index uint32, now time.Time) {
	for _, r := range c.runners {
		if r.index == index && !r.Unreachable && now.Sub(r.LastRead) > minRecheckAge {
			r.StateKnown = false
			c.requestPlan()
		}
	}
}

// applyState applies a runner's report. A report may be some hundred milliseconds old, so one that does not include
// all orders accepted from this coordinator is ignored.
func (c *Coordinator) applyState(r *Runner, state *RunnerState) {
	if state.AcceptedOrders < r.AcceptedOrders && r.StateKnown {
		return
	}
	c.setUnreachable(r, false, nil)
	r.StateKnown, r.LastRead, r.NotBefore = true, time.Now(), time.Time{}
	if state.Busy && r.Pending == nil {
		// An order of a previous holder is in progress; the report does not show yet what it loads.
		r.StateKnown, r.NotBefore = false, r.LastRead.Add(retryDelay)
	}
	r.AcceptedOrders, r.Models, r.OnDisk, r.InMemory = state.AcceptedOrders, state.Models, state.OnDisk, state.InMemory
	r.LoadingAdapters = state.LoadingAdapters
	if state.Draining {
		r.Server.Draining = true
		c.config.Availability.Record(r.incarnation(), availability.Answer{Leaving: true, SentAt: r.LastRead, At: r.LastRead, Source: "report"})
	}
	c.markChanged(r)
}
