package coordinator

import (
	"context"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
)

const (
	// checkPeriod is how often the report of a runner without orders is read; each read is billed as a probe.
	checkPeriod = 4 * time.Second
	// reportTimeout bounds the read of a report.
	reportTimeout = 600 * time.Millisecond
	// retryPause is the pause after a failed read or order.
	retryPause = 400 * time.Millisecond
	// concurrentChecks bounds the reads that one step begins, so that a new holder does not send them all at once.
	concurrentChecks = 6
	// recheckPause is the age up to which a report is not read again because a daemon could not connect; a partition of
	// that daemon would otherwise lead to reads with every plan.
	recheckPause = 500 * time.Millisecond
	// returnTime is how long a runner that cannot be reached is expected to return; most crashed ones do within 5 s.
	returnTime = 5 * time.Second
)

// refreshRunners reads the reports that are due.
func (c *Coordinator) refreshRunners(ctx context.Context, now time.Time) {
	started := 0
	for _, r := range c.runners {
		due := !r.Known || now.Sub(r.Checked) > checkPeriod
		if !due || r.Pending != nil || now.Before(r.NextTry) || started == concurrentChecks {
			continue
		}
		started++
		r.NextTry = now.Add(retryPause)
		c.orders.Go(func() { c.check(ctx, r) })
	}
}

// check reads the report of a runner and applies it.
func (c *Coordinator) check(ctx context.Context, r *Runner) bool {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	c.mu.Lock()
	address, id := r.Server.Address, r.Server.ID
	c.mu.Unlock()
	state, err := c.control.State(ctx, address, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || state.BornMillis != r.Server.BornMillis {
		r.Known = false
		c.setUnreachable(r, failure.HasCode(err, failure.ConnectFailed), err)
		r.NextTry = time.Now().Add(retryPause)
		return false
	}
	c.applyState(r, &state)
	return true
}

// setUnreachable notes whether a runner accepts connections. The plan follows at once, because its models may be missing.
func (c *Coordinator) setUnreachable(r *Runner, unreachable bool, reason error) {
	if r.Unreachable == unreachable {
		return
	}
	r.Unreachable = unreachable
	if unreachable {
		// A runner that returns is empty and serves nobody until the list names it.
		c.fleet.Hurry(time.Now().Add(returnTime))
		c.log.Log(eventlog.RunnerUnreachable, "server", r.id, "report_age", time.Since(r.Checked), "models", len(r.Models), "reason", reason)
		c.poke()
	}
}

// checkSoon makes the report of a runner due, because a daemon could not connect to it.
func (c *Coordinator) checkSoon(index uint32, now time.Time) {
	for _, r := range c.runners {
		if r.index == index && !r.Unreachable && now.Sub(r.Checked) > recheckPause {
			r.Known = false
			c.poke()
		}
	}
}

// applyState takes over a runner's report. A report may be some hundred milliseconds old, so an accepted order of this
// coordinator is not undone by a report that does not know of it.
func (c *Coordinator) applyState(r *Runner, state *RunnerState) {
	if state.Orders < r.Orders && r.Known {
		return
	}
	c.setUnreachable(r, false, nil)
	r.Known, r.Checked, r.NextTry = true, time.Now(), time.Time{}
	if state.Busy && r.Pending == nil {
		// An order of an earlier holder is being carried out; what it loads does not show in the report yet.
		r.Known, r.NextTry = false, r.Checked.Add(retryPause)
	}
	r.Orders, r.Models, r.OnDisk, r.InMem = state.Orders, state.Models, state.OnDisk, state.InMemory
	r.Arriving = state.Arriving
	if state.Draining {
		r.Server.Draining = true
	}
	c.bump(r)
}
