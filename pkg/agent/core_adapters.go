package agent

import (
	"time"

	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/timeline"
)

// adapterResend is the time after which an adapter order without a known result is sent again; loads take 5 to 10 ms.
const adapterResend = time.Second

// decideAdapters answers requests whose adapter is resident and orders loads and unloads for the others.
func (c *Core) decideAdapters() {
	if len(c.adapters.byRequest) == 0 && len(c.adapters.states) == 0 {
		return
	}
	for _, key := range c.adapters.ordered() {
		c.answerWaiters(key)
	}
	if !c.commands() || !c.engineKnown() || c.fenced {
		return
	}
	for _, key := range c.adapters.ordered() {
		c.resendAdapter(key)
	}
	c.loadAdapters()
}

func (c *Core) answerWaiters(key AdapterKey) {
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
		c.do(AnswerAdapter{Request: request, Err: refusal})
	}
	s.failed = nil
	c.adapters.forget(key)
}

// adapterRefusal returns why an adapter cannot be served; nil while it can.
func (c *Core) adapterRefusal(key AdapterKey, s *adapterState) *failure.Failure {
	if s.failed != nil {
		return s.failed
	}
	if c.superseded {
		return failure.New(failure.WrongIncarnation, failure.NotRun, "a newer agent serves this runner")
	}
	if _, ok := c.loaded(key.Model); !ok {
		return failure.New(failure.NotLoaded, failure.NotRun, "model of the adapter is not loaded")
	}
	if c.id.AdapterSlots == 0 {
		return failure.New(failure.NotLoaded, failure.NotRun, "runner has no adapter slots")
	}
	return nil
}

func (c *Core) resendAdapter(key AdapterKey) {
	s := c.adapters.states[key]
	if !s.unknown || c.now.Sub(s.since) < adapterResend {
		return
	}
	kind := engine.UnloadAdapter
	if s.phase == adapterLoading {
		kind = engine.LoadAdapter
	}
	c.sendAdapter(key, kind, s.phase)
}

// loadAdapters starts loads for waiting requests, first come first served, within the slots and the in-flight share.
func (c *Core) loadAdapters() {
	need := 0
	for _, key := range c.waitingAdapters() {
		if c.adapters.count(adapterLoading) >= c.adapterShare() {
			return
		}
		fits := c.adapterFits(key)
		if fits && c.adapters.taken() < int(c.id.AdapterSlots) {
			c.sendAdapter(key, engine.LoadAdapter, adapterLoading)
			continue
		}
		if !fits && c.adapters.taken() == 0 {
			c.refuseAdapter(key)
			continue
		}
		need++
		if c.adapters.count(adapterUnloading) >= need {
			continue
		}
		victim, ok := c.adapters.victim()
		if !ok {
			return
		}
		c.sendAdapter(victim, engine.UnloadAdapter, adapterUnloading)
	}
}

// waitingAdapters returns the absent adapters with waiting requests, longest wait first.
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

// adapterShare returns the loads that this agent may have in flight: its part of the limit over all model runners.
func (c *Core) adapterShare() int {
	runners := 0
	for _, r := range c.placement.Runners() {
		if r.Service == "" {
			runners++
		}
	}
	return max(1, c.limits.AdapterInFlight/max(1, runners))
}

func (c *Core) sendAdapter(key AdapterKey, kind engine.OrderKind, phase adapterPhase) {
	c.adapters.set(key, phase, c.now)
	s := c.adapters.state(key)
	s.order = c.nextOrderID()
	order := engine.Order{ID: s.order, Kind: kind, Model: key.Model, Adapter: key.Adapter, Fencing: c.fencing}
	order.Bytes = c.adapterBytes(key)
	s.bytes = order.Bytes
	event := timeline.AdapterLoaded
	if kind == engine.UnloadAdapter {
		event = timeline.AdapterEvicted
	}
	c.note(event, "adapter/"+key.Adapter, s.order)
	c.do(SendOrder{Order: order})
}
