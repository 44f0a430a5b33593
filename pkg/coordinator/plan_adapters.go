package coordinator

import (
	"context"
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

// planAdapters starts the loads of adapters for which requests are waiting.
func (c *Coordinator) planAdapters(ctx context.Context, service *fleet.Service, now time.Time) {
	runners := c.serviceRunners(service.Name)
	for key, waiting := range c.adapterWaiting {
		if key.service != service.Name {
			continue
		}
		if len(waiting) == 0 {
			delete(c.adapterWaiting, key)
			continue
		}
		if len(reachableWithAdapter(runners, key.model, key.adapter)) > 0 || adapterOrderPending(runners, key) {
			continue
		}
		a, ok := PlanAdapter(service.Engine, runners, AdapterDemand{Model: key.model, Adapter: key.adapter}, now)
		if !ok {
			continue
		}
		a.Runner.Pending = &PendingOrder{Order: Order{Operation: Load, Model: key.model, Adapter: key.adapter}, Since: now}
		a.Runner.AdapterLastUsed[key.model+"/"+key.adapter] = now
		c.background.Go(func() { c.executeAdapterChange(ctx, a) })
	}
}

// adapterOrderPending reports whether an order for the adapter is in progress.
func adapterOrderPending(runners []*Runner, key adapterKey) bool {
	for _, r := range runners {
		if r.Pending != nil && r.Pending.Order.Model == key.model && r.Pending.Order.Adapter == key.adapter {
			return true
		}
	}
	return false
}
