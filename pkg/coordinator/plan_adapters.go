package coordinator

import (
	"context"
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

// planAdapters loads the adapters for which requests wait.
func (c *Coordinator) planAdapters(ctx context.Context, service *fleet.Service, now time.Time) {
	runners := c.runnersOf(service.Name)
	for key, waiting := range c.wanted {
		if key.service != service.Name {
			continue
		}
		if len(waiting) == 0 {
			delete(c.wanted, key)
			continue
		}
		if len(holdersOf(runners, key.model, key.adapter)) > 0 || arriving(runners, key) {
			continue
		}
		a, ok := PlanAdapter(service.Engine, runners, AdapterDemand{Model: key.model, Adapter: key.adapter}, now)
		if !ok {
			continue
		}
		a.Runner.Pending = &PendingOrder{Order: Order{Operation: Load, Model: key.model, Adapter: key.adapter}, Since: now}
		a.Runner.LastUse[key.model+"/"+key.adapter] = now
		c.orders.Go(func() { c.executeAdapter(ctx, a) })
	}
}

// arriving reports whether an order for the adapter is in progress.
func arriving(runners []*Runner, key adapterKey) bool {
	for _, r := range runners {
		if r.Pending != nil && r.Pending.Order.Model == key.model && r.Pending.Order.Adapter == key.adapter {
			return true
		}
	}
	return false
}
