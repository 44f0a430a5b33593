package agent

import (
	"time"

	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/timeline"
)

// adapterResendDelay is the time after which an adapter order with an unknown result is sent again. An adapter load
// takes 5 to 10 ms.
const adapterResendDelay = time.Second

// decideAdapters resolves requests whose adapter is resident and sends load and unload orders for the others, and load
// orders for the adapters of new versions.
func (c *Core) decideAdapters() {
	for _, key := range c.adapters.ordered() {
		c.resolveWaiters(key)
	}
	if !c.isEngine() || !c.mayOrderAdapters() || !c.reportFresh() {
		return
	}
	for _, key := range c.adapters.ordered() {
		c.resendAdapter(key)
	}
	c.loadAdapters()
	if !c.stopping {
		c.preloadAdapters()
	}
}

// mayOrderAdapters reports whether the engine would accept adapter orders of this agent. It is false until the agent is
// announced, which takes until the end of a log outage, and while the engine refuses its fencing token.
func (c *Core) mayOrderAdapters() bool { return c.authorized() && !c.fenced }

// reportedAdapters returns the adapters that the report shows at the newest version of their model, which is the one that
// serves requests and that adapter orders apply to.
func (c *Core) reportedAdapters() map[AdapterKey]bool {
	out := map[AdapterKey]bool{}
	for _, m := range c.report.Models {
		if newest, _ := c.loadedModel(m.Model); newest.Version != m.Version {
			continue
		}
		for _, a := range m.Adapters {
			out[AdapterKey{Model: m.Model, Adapter: a}] = true
		}
	}
	return out
}

// supersededAdapters returns the adapters that the report shows at other versions than the newest one of their model.
func (c *Core) supersededAdapters() []AdapterKey {
	var out []AdapterKey
	for _, m := range c.report.Models {
		if newest, _ := c.loadedModel(m.Model); newest.Version == m.Version {
			continue
		}
		for _, a := range m.Adapters {
			out = append(out, AdapterKey{Model: m.Model, Adapter: a})
		}
	}
	return out
}

func (c *Core) resolveWaiters(key AdapterKey) {
	s, ok := c.adapters.states[key]
	if !ok || len(s.waiters) == 0 {
		return
	}
	refusal := c.adapterRefusal(key, s)
	if refusal == nil && s.phase != adapterResident {
		return
	}
	waiters := s.waiters
	s.waiters = nil
	for _, request := range waiters {
		if refusal != nil {
			delete(c.adapters.byRequest, request)
		} else {
			s.pins[request] = true
		}
		c.emit(ResolveAdapter{Request: request, Err: refusal})
	}
	s.loadFailure = nil
	c.adapters.forget(key)
}

// adapterRefusal returns why an adapter cannot be served; nil while it can.
func (c *Core) adapterRefusal(key AdapterKey, s *adapterState) *failure.Failure {
	if s.loadFailure != nil {
		return s.loadFailure
	}
	if c.superseded {
		return failure.New(failure.WrongIncarnation, failure.NotRun, "a newer agent serves this runner")
	}
	if _, ok := c.loadedModel(key.Model); !ok {
		return failure.New(failure.NotLoaded, failure.NotRun, "model of the adapter is not loaded")
	}
	if c.id.AdapterSlots == 0 {
		return failure.New(failure.NotLoaded, failure.NotRun, "runner has no adapter slots")
	}
	if s.phase == adapterAbsent && len(c.adapters.superseded) >= int(c.id.AdapterSlots) {
		return failure.New(failure.NotLoaded, failure.NotRun, "adapters of a replaced model version hold all slots")
	}
	if s.phase == adapterAbsent && !c.mayOrderAdapters() {
		return failure.New(failure.NotLoaded, failure.NotRun, "adapter is not resident and this agent cannot order its load yet")
	}
	return nil
}

func (c *Core) resendAdapter(key AdapterKey) {
	s := c.adapters.states[key]
	if !s.resultUnknown || c.now.Sub(s.phaseSince) < adapterResendDelay {
		return
	}
	kind := engine.UnloadAdapter
	if s.phase == adapterLoading {
		kind = engine.LoadAdapter
	}
	c.sendAdapterOrder(key, kind, s.phase)
}

// loadAdapters sends load orders for waiting requests in arrival order, limited by the adapter slots and by
// maxAdapterLoads. It evicts unused adapters to free slots and memory.
func (c *Core) loadAdapters() {
	slotsNeeded := 0
	for _, key := range c.waitingAdapters() {
		if c.adapters.count(adapterLoading) >= c.maxAdapterLoads() {
			return
		}
		fits := c.adapterFits(key)
		if fits && c.adapters.slotsInUse() < int(c.id.AdapterSlots) {
			c.sendAdapterOrder(key, engine.LoadAdapter, adapterLoading)
			continue
		}
		if !fits && c.adapters.slotsInUse() == 0 {
			c.refuseAdapter(key)
			continue
		}
		slotsNeeded++
		if c.adapters.count(adapterUnloading) >= slotsNeeded {
			continue
		}
		victim, ok := c.adapters.victim()
		if !ok {
			return
		}
		c.sendAdapterOrder(victim, engine.UnloadAdapter, adapterUnloading)
	}
}

// waitingAdapters returns the absent adapters that requests wait for, in ascending order of the last request for them.
func (c *Core) waitingAdapters() []AdapterKey {
	var out []AdapterKey
	for _, key := range c.adapters.ordered() {
		s := c.adapters.states[key]
		if s.phase != adapterAbsent || len(s.waiters) == 0 {
			continue
		}
		at := len(out)
		for at > 0 && s.lastUse.Before(c.adapters.states[out[at-1]].lastUse) {
			at--
		}
		out = append(out[:at], append([]AdapterKey{key}, out[at:]...)...)
	}
	return out
}

// maxAdapterLoads returns the number of adapter loads that this agent may have in flight: an equal share, at least 1,
// of the limit for all model runners.
func (c *Core) maxAdapterLoads() int {
	runners := 0
	for _, r := range c.placement.Runners() {
		if r.Service == "" {
			runners++
		}
	}
	return max(1, c.limits.AdapterInFlight/max(1, runners))
}

func (c *Core) sendAdapterOrder(key AdapterKey, kind engine.OrderKind, phase adapterPhase) {
	c.adapters.setPhase(key, phase, c.now)
	s := c.adapters.state(key)
	s.orderID = c.nextOrderID()
	order := engine.Order{ID: s.orderID, Kind: kind, Model: key.Model, Adapter: key.Adapter, Fencing: c.fencing}
	order.Bytes = c.adapterBytes(key)
	s.bytes = order.Bytes
	event := timeline.AdapterLoaded
	if kind == engine.UnloadAdapter {
		event = timeline.AdapterEvicted
	}
	c.addTimeline(event, "adapter/"+key.Adapter, s.orderID)
	c.emit(SendOrder{Order: order})
}
