package agent

import (
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/eventlog"
)

// announceDue reports whether an AgentStart must be appended: at the start, after an eviction by mistake, to void lost
// orders at an engine that honours fencing, and when the memory for models changed. The memory depends on the published
// adapters, so an engine's agent waits for the configuration.
func (c *Core) announceDue() bool {
	if c.superseded || c.stopping || !c.placementKnown {
		return false
	}
	if c.isEngine() && (!c.engineKnown() || !c.configKnown) {
		return false
	}
	if c.fencing == 0 {
		return true
	}
	if _, ok := c.placement.Runner(c.id.Runner); !ok {
		return true
	}
	return c.refenceDue() || c.capacityDue()
}

func (c *Core) agentStart() *ferrypb.PlacementRecord {
	start := &ferrypb.AgentStart{
		Runner:        c.id.Runner,
		Incarnation:   c.id.Incarnation,
		Address:       c.id.Address,
		Region:        c.id.Region,
		FailureDomain: c.id.FailureDomain,
		MemoryBytes:   c.capacity(),
		Accelerators:  c.id.Accelerators,
		Service:       c.id.Service,
		AdapterSlots:  c.id.AdapterSlots,
	}
	return &ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_AgentStart{AgentStart: start}}
}

// readOwnStart takes over the fencing number once the own AgentStart was read back.
func (c *Core) readOwnStart() {
	state, ok := c.placement.Runner(c.id.Runner)
	if !ok || state.Incarnation != c.id.Incarnation || state.Fencing <= c.fencing {
		return
	}
	c.fencing = state.Fencing
	c.unsettledAt = time.Time{}
	c.openLedger()
	c.fenceAcked = false
	c.fenced = false
	c.log(eventlog.AgentAnnounced, "fencing", c.fencing)
}

// checkSuperseded notices a newer agent of the same runner. It never becomes false again.
func (c *Core) checkSuperseded() {
	if c.superseded || c.fencing == 0 || c.placement == nil {
		return
	}
	state, ok := c.placement.Runner(c.id.Runner)
	if !ok || state.Fencing <= c.fencing || state.Incarnation == c.id.Incarnation {
		return
	}
	c.superseded = true
	c.log(eventlog.AgentSuperseded, "fencing", c.fencing, "newer", state.Fencing)
}
