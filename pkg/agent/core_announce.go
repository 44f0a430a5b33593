package agent

import (
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/eventlog"
)

// announceDue reports whether an AgentStart record must be appended: at startup, after a mistaken eviction, to void
// unanswered orders at an engine that honours fencing, and when the memory available for models has changed. That
// memory depends on the published adapters, so the agent of an engine first waits for the configuration.
func (c *Core) announceDue() bool {
	if c.superseded || c.stopping || !c.placementKnown {
		return false
	}
	if c.isEngine() && (!c.reportFresh() || !c.configKnown) {
		return false
	}
	if c.fencing == 0 {
		return true
	}
	if _, ok := c.placement.Runner(c.id.Runner); !ok {
		return true
	}
	return c.newFencingDue() || c.capacityChanged()
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

// applyOwnStart adopts the fencing token once this agent's AgentStart record has been read from the log.
func (c *Core) applyOwnStart() {
	state, ok := c.placement.Runner(c.id.Runner)
	if !ok || state.Incarnation != c.id.Incarnation || state.Fencing <= c.fencing {
		return
	}
	c.fencing = state.Fencing
	c.unsettledSince = time.Time{}
	c.initLedger()
	c.fenceAcked = false
	c.fenced = false
	c.log(eventlog.AgentAnnounced, "fencing", c.fencing)
}

// checkSuperseded sets superseded when a newer agent of the same runner has announced itself. It is never cleared.
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
