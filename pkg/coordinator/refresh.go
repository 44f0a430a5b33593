package coordinator

import (
	"context"
	"time"
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
		r.NextTry = time.Now().Add(retryPause)
		return false
	}
	c.applyState(r, &state)
	return true
}

// applyState takes over a runner's report. A report may be some hundred milliseconds old, so an accepted order of this
// coordinator is not undone by a report that does not know of it.
func (c *Coordinator) applyState(r *Runner, state *RunnerState) {
	if state.Orders < r.Orders && r.Known {
		return
	}
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
