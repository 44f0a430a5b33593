package coordinator

import (
	"context"
	"math"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/fleet"
)

// planModels plans the models of a service and starts the planned changes.
func (c *Coordinator) planModels(ctx context.Context, service *fleet.Service, token int64, now time.Time) {
	runners := c.serviceRunners(service.Name)
	limiter, ok := c.loadLimiters[service.Name]
	if !ok {
		limiter = &loadLimiter{limits: c.config.LoadLimits}
		c.loadLimiters[service.Name] = limiter
	}
	inProgress := c.countStoreLoads(runners)
	loads := min(limiter.available(service.Engine.LoadsPerSecond, c.lease.IsSoleHolder(), now), concurrentLoads(service.Engine)-inProgress)
	plan := Plan(PlanInput{Engine: service.Engine, Runners: runners, Demand: c.modelDemand(service.Name, now),
		MaxStoreLoads: loads, MaxSurplusLoads: maxSurplusLoads - inProgress, Now: now})
	for _, a := range plan {
		if a.FromStore {
			limiter.recordStart(now)
		}
		first := Order{Operation: Load, Model: a.Load}
		if a.Unload != "" {
			first = Order{Operation: Unload, Model: a.Unload}
		}
		a.Runner.Pending = &PendingOrder{Order: first, LoadModel: a.Load, Since: now}
		c.log.Log(eventlog.ModelOrdered, "server", a.Runner.Server.ID, "load", a.Load, "unload", a.Unload, "pressure", a.Pressure,
			"copies", a.Copies, "from_store", a.FromStore, "token", token, "report_age", now.Sub(a.Runner.LastRead))
		c.markChanged(a.Runner)
		c.background.Go(func() { c.executeModelChange(ctx, a, service.Engine) })
	}
}

// maxSurplusLoads is the number of concurrent loads up to which models that already have a copy get another one. Each
// such load evicts another copy together with its cached prompts; with nine or ten at once more responses were late.
const maxSurplusLoads = 3

// concurrentLoads returns the number of concurrent loads at which the weight store is fully used, if each load takes
// its usual time (Little's law). Further loads only slow each other down.
func concurrentLoads(e *fleet.Engine) int {
	total := 0.0
	for _, m := range e.Models {
		total += m.StoreLoad.Seconds()
	}
	return max(int(math.Ceil(e.LoadsPerSecond*total/float64(max(len(e.Models), 1)))), 1)
}

// countStoreLoads counts the loads in progress that read from the weight store.
func (c *Coordinator) countStoreLoads(runners []*Runner) int {
	n := 0
	for _, r := range runners {
		if m := r.loadingModel(); m != "" && !r.hasLocalWeights(m) {
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
		if d.hasEnded(now) {
			delete(c.demand, key)
			continue
		}
		d.decay(now)
		out[key.model] = ModelDemand{Model: key.model, Rate: d.rate, Waiting: d.waitingTotal(), Idle: now.Sub(d.lastRequest)}
	}
	return out
}
