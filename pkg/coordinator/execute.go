package coordinator

import (
	"context"
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/fleet"
)

const (
	// orderTimeout bounds the answer to an order; an order without an answer may still be carried out.
	orderTimeout = 700 * time.Millisecond
	// noticePause lets the daemons learn that a model leaves before it is unloaded, so that no request is refused.
	noticePause = 300 * time.Millisecond
	// pollPeriod is the period of reports while an order is carried out.
	pollPeriod = 150 * time.Millisecond
	// unloadLimit bounds the wait for the end of the runs of a model that is being unloaded.
	unloadLimit = 8 * time.Second
	// loadLimit bounds the wait for a load; loads slow each other down beyond the store's concurrency.
	loadLimit = 12 * time.Second
	// rejectedPause is the pause after an order that does not fit the runner.
	rejectedPause = 5 * time.Second
)

// execute carries out one change of models at a runner.
func (c *Coordinator) execute(ctx context.Context, a Action, engine *fleet.Engine) {
	r := a.Runner
	defer c.done(r)
	if a.Unload != "" {
		if !sleep(ctx, noticePause) || !c.send(ctx, r, Order{Operation: Unload, Model: a.Unload}) {
			return
		}
		if !c.waitFor(ctx, r, unloadLimit, func() bool { return !r.Holds(a.Unload) }) {
			return
		}
		c.setPending(r, Order{Operation: Load, Model: a.Load})
	}
	if !c.send(ctx, r, Order{Operation: Load, Model: a.Load}) {
		return
	}
	if !sleep(ctx, expectedLoad(engine.Models[a.Load], a.FromStore)) {
		return
	}
	c.waitFor(ctx, r, loadLimit, func() bool { return r.Holds(a.Load) })
}

func expectedLoad(m fleet.Model, fromStore bool) time.Duration {
	if fromStore || m.DiskLoad == 0 {
		return m.StoreLoad
	}
	return m.DiskLoad
}

// executeAdapter carries out one change of adapters at a runner.
func (c *Coordinator) executeAdapter(ctx context.Context, a AdapterAction) {
	r := a.Runner
	defer c.done(r)
	if a.UnloadAdapter != "" {
		if !c.send(ctx, r, Order{Operation: Unload, Model: a.UnloadModel, Adapter: a.UnloadAdapter}) {
			return
		}
		c.change(r, func() { dropAdapter(r, a.UnloadModel, a.UnloadAdapter) })
	}
	if !c.send(ctx, r, Order{Operation: Load, Model: a.Model, Adapter: a.Load}) {
		return
	}
	// The runner keeps requests for an adapter that is on its way, so it counts as resident from now on.
	if sleep(ctx, adapterArrival) {
		c.change(r, func() { addAdapter(r, a.Model, a.Load) })
	}
}

// adapterArrival is the usual time of an adapter on its way.
const adapterArrival = 12 * time.Millisecond

func dropAdapter(r *Runner, model, adapter string) {
	if h := r.held(model); h != nil {
		h.Adapters = slices.DeleteFunc(slices.Clone(h.Adapters), func(name string) bool { return name == adapter })
	}
}

func addAdapter(r *Runner, model, adapter string) {
	if h := r.held(model); h != nil && !slices.Contains(h.Adapters, adapter) {
		h.Adapters = append(slices.Clone(h.Adapters), adapter)
	}
}

func (c *Coordinator) change(r *Runner, f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Models = slices.Clone(r.Models)
	f()
	c.bump(r)
}

func (c *Coordinator) setPending(r *Runner, o Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Pending = &PendingOrder{Order: o, Load: o.Model, Since: time.Now()}
	c.bump(r)
}

func (c *Coordinator) done(r *Runner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Pending = nil
	c.bump(r)
	c.poke()
}

// send gives one order and reports whether it is being carried out or already holds.
func (c *Coordinator) send(ctx context.Context, r *Runner, o Order) bool {
	c.mu.Lock()
	token, ok := c.lease.Token()
	o.Expected, o.Holder, o.Token = r.Orders, c.config.Holder, token
	address, id := r.Server.Address, r.Server.ID
	c.mu.Unlock()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	verdict, err := c.control.Order(ctx, address, id, o)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		r.Known, r.NextTry = false, time.Now().Add(retryPause)
		c.log.Log(eventlog.ModelOrderUnclear, "server", id, "operation", o.Operation, "model", o.Model, "adapter", o.Adapter,
			"expected", o.Expected, "token", o.Token, "reason", err)
		return false
	}
	c.log.Log(eventlog.ModelOrderAnswered, "server", id, "operation", o.Operation, "model", o.Model, "adapter", o.Adapter,
		"expected", o.Expected, "token", o.Token, "verdict", verdict)
	return c.judge(r, o, verdict)
}

func (c *Coordinator) judge(r *Runner, o Order, verdict Verdict) bool {
	switch verdict {
	case Accepted:
		r.Orders++
		return true
	case AlreadyDone:
		// Whether such an answer counts as an accepted order is read from the next report.
		r.Known = o.Adapter == "" && r.Known
		return true
	case Fenced:
		c.lease.Refused(o.Token)
	case Rejected:
		r.NextTry = time.Now().Add(rejectedPause)
	case Busy, WrongServer:
		r.Known, r.NextTry = false, time.Now().Add(retryPause/4)
	}
	return false
}

// waitFor reads the runner's report until the condition holds.
func (c *Coordinator) waitFor(ctx context.Context, r *Runner, limit time.Duration, holds func() bool) bool {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		c.check(ctx, r)
		c.mu.Lock()
		ok, current := holds(), c.runners[r.id] == r
		c.mu.Unlock()
		if ok {
			return true
		}
		if !current || !sleep(ctx, pollPeriod) {
			return false
		}
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
