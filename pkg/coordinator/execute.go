package coordinator

import (
	"context"
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/fleet"
)

const (
	// orderTimeout bounds the wait for the response to an order; an order without a response may still be carried out.
	orderTimeout = 700 * time.Millisecond
	// unloadNotice is the delay before a model is unloaded, in which the daemons learn of it and send the runner no
	// more requests for the model; otherwise the runner would refuse some.
	unloadNotice = 300 * time.Millisecond
	// statePollInterval is the time between two reads of a runner's report while it carries out an order.
	statePollInterval = 150 * time.Millisecond
	// unloadTimeout bounds the wait for the requests of a model that is being unloaded to finish.
	unloadTimeout = 8 * time.Second
	// loadTimeout bounds the wait for a load; loads beyond the concurrency of the store slow each other down.
	loadTimeout = 12 * time.Second
	// rejectedBackoff is the delay after a runner rejected an order that it cannot carry out.
	rejectedBackoff = 5 * time.Second
)

// executeModelChange unloads and loads the models of one action on its runner and waits for each to take effect.
func (c *Coordinator) executeModelChange(ctx context.Context, a ModelAction, engine *fleet.Engine) {
	r := a.Runner
	defer c.finishChange(r)
	if a.Unload != "" {
		if !sleep(ctx, unloadNotice) || !c.sendOrder(ctx, r, Order{Operation: Unload, Model: a.Unload}) {
			return
		}
		if !c.waitFor(ctx, r, unloadTimeout, func() bool { return !r.HasModel(a.Unload) }) {
			return
		}
		c.setPending(r, Order{Operation: Load, Model: a.Load})
	}
	if !c.sendOrder(ctx, r, Order{Operation: Load, Model: a.Load}) {
		return
	}
	if !sleep(ctx, expectedLoadTime(engine.Models[a.Load], a.FromStore)) {
		return
	}
	c.waitFor(ctx, r, loadTimeout, func() bool { return r.HasModel(a.Load) })
}

func expectedLoadTime(m fleet.Model, fromStore bool) time.Duration {
	if fromStore || m.DiskLoad == 0 {
		return m.StoreLoad
	}
	return m.DiskLoad
}

// executeAdapterChange unloads and loads the adapters of one action on its runner.
func (c *Coordinator) executeAdapterChange(ctx context.Context, a AdapterAction) {
	r := a.Runner
	defer c.finishChange(r)
	if a.UnloadAdapter != "" {
		if !c.sendOrder(ctx, r, Order{Operation: Unload, Model: a.UnloadModel, Adapter: a.UnloadAdapter}) {
			return
		}
		c.updateModels(r, func() { dropAdapter(r, a.UnloadModel, a.UnloadAdapter) })
	}
	if !c.sendOrder(ctx, r, Order{Operation: Load, Model: a.Model, Adapter: a.Load}) {
		return
	}
	// The runner queues requests for an adapter that is still loading, so the adapter counts as resident from now on.
	if sleep(ctx, adapterLoadTime) {
		c.updateModels(r, func() { addAdapter(r, a.Model, a.Load) })
	}
}

// adapterLoadTime is the usual duration of an adapter load.
const adapterLoadTime = 12 * time.Millisecond

func dropAdapter(r *Runner, model, adapter string) {
	if h := r.residentModel(model); h != nil {
		h.Adapters = slices.DeleteFunc(slices.Clone(h.Adapters), func(name string) bool { return name == adapter })
	}
}

func addAdapter(r *Runner, model, adapter string) {
	if h := r.residentModel(model); h != nil && !slices.Contains(h.Adapters, adapter) {
		h.Adapters = append(slices.Clone(h.Adapters), adapter)
	}
}

func (c *Coordinator) updateModels(r *Runner, f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Models = slices.Clone(r.Models)
	f()
	c.markChanged(r)
}

func (c *Coordinator) setPending(r *Runner, o Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Pending = &PendingOrder{Order: o, LoadModel: o.Model, Since: time.Now()}
	c.markChanged(r)
}

func (c *Coordinator) finishChange(r *Runner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Pending = nil
	c.markChanged(r)
	c.requestPlan()
}

// sendOrder sends one order. It reports whether the runner carries it out or has nothing left to do for it.
func (c *Coordinator) sendOrder(ctx context.Context, r *Runner, o Order) bool {
	c.mu.Lock()
	token, ok := c.lease.Token()
	o.ExpectedOrders, o.Holder, o.Token = r.AcceptedOrders, c.config.Holder, token
	address, id, sentAt := r.Server.Address, r.Server.ID, time.Now()
	paused := c.pauseLeft(r, sentAt) > 0
	c.mu.Unlock()
	if !ok || paused {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	result, err := c.client.SendOrder(ctx, address, id, o)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordRefusal(r, "order", err, sentAt)
	if err != nil {
		r.StateKnown, r.NotBefore = false, time.Now().Add(retryDelay)
		c.log.Log(eventlog.ModelOrderUnclear, "server", id, "operation", o.Operation, "model", o.Model, "adapter", o.Adapter,
			"expected", o.ExpectedOrders, "token", o.Token, "reason", err)
		return false
	}
	c.log.Log(eventlog.ModelOrderAnswered, "server", id, "operation", o.Operation, "model", o.Model, "adapter", o.Adapter,
		"expected", o.ExpectedOrders, "token", o.Token, "verdict", result)
	return c.applyResult(r, o, result)
}

func (c *Coordinator) applyResult(r *Runner, o Order, result OrderResult) bool {
	switch result {
	case Accepted:
		r.AcceptedOrders++
		return true
	case AlreadyDone:
		// The next report shows whether the runner counted this order as accepted.
		r.StateKnown = o.Adapter == "" && r.StateKnown
		return true
	case Fenced:
		c.lease.RecordFenced(o.Token)
	case Rejected:
		r.NotBefore = time.Now().Add(rejectedBackoff)
	case Busy, WrongServer:
		r.StateKnown, r.NotBefore = false, time.Now().Add(retryDelay/4)
	}
	return false
}

// waitFor reads the runner's report repeatedly until the condition holds. It returns false after limit, when ctx ends,
// or when another incarnation replaces the runner.
func (c *Coordinator) waitFor(ctx context.Context, r *Runner, limit time.Duration, condition func() bool) bool {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		c.refreshRunner(ctx, r)
		c.mu.Lock()
		ok, current := condition(), c.runners[r.id] == r
		c.mu.Unlock()
		if ok {
			return true
		}
		if !current || !sleep(ctx, statePollInterval) {
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
