package coordinator

import (
	"context"
	"math"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/fleet"
)

// planModels starts the changes that the demand asks for.
func (c *Coordinator) planModels(ctx context.Context, service *fleet.Service, token int64, now time.Time) {
	runners := c.runnersOf(service.Name)
	rate, ok := c.rates[service.Name]
	if !ok {
		rate = &loadRate{limits: c.config.Loads}
		c.rates[service.Name] = rate
	}
	inProgress := c.storeLoads(runners)
	loads := min(rate.allowed(service.Engine.LoadsPerSecond, c.lease.Settled(), now), concurrentLoads(service.Engine)-inProgress)
	plan := Plan(PlanInput{Engine: service.Engine, Runners: runners, Demand: c.modelDemand(service.Name, now),
		StoreLoads: loads, SurplusLoads: surplusLoads - inProgress, Now: now})
	for _, a := range plan {
		if a.FromStore {
			rate.began(now)
		}
		first := Order{Operation: Load, Model: a.Load}
		if a.Unload != "" {
			first = Order{Operation: Unload, Model: a.Unload}
		}
		a.Runner.Pending = &PendingOrder{Order: first, Load: a.Load, Since: now}
		c.log.Log(eventlog.ModelOrdered, "server", a.Runner.Server.ID, "load", a.Load, "unload", a.Unload, "pressure", a.Pressure,
			"copies", a.Copies, "from_store", a.FromStore, "token", token, "report_age", now.Sub(a.Runner.Checked))
		c.bump(a.Runner)
		c.orders.Go(func() { c.execute(ctx, a, service.Engine) })
	}
}

// surplusLoads is the number of loads in progress beyond which models that have copies get no further one: each makes
// another copy give way with what it kept of its prompts. Nine and ten at once made more answers late.
const surplusLoads = 3

// concurrentLoads returns the number of loads in progress at which the weight store delivers its whole rate, each load
// taking its usual time (Little's law). More of them only slow each other down.
func concurrentLoads(e *fleet.Engine) int {
	total := 0.0
	for _, m := range e.Models {
		total += m.StoreLoad.Seconds()
	}
	return max(int(math.Ceil(e.LoadsPerSecond*total/float64(max(len(e.Models), 1)))), 1)
}

// storeLoads counts the loads in progress that come from the store.
func (c *Coordinator) storeLoads(runners []*Runner) int {
	n := 0
	for _, r := range runners {
		if m := r.loading(); m != "" && !r.keeps(m) {
			n++
		}
	}
	return n
}

func (c *Coordinator) modelDemand(service string, now time.Time) map[string]ModelDemand {
	out := map[string]ModelDemand{}
	for key, d := range c.demand {
		if key.service != service {
			continue
		}
		if d.over(now) {
			delete(c.demand, key)
			continue
		}
		d.decay(now)
		out[key.model] = ModelDemand{Model: key.model, Rate: d.rate, Waiting: d.waitingTotal(), Idle: now.Sub(d.last)}
	}
	return out
}
