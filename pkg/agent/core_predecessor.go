package agent

// predecessorIncarnation returns the predecessor's incarnation, under which an agent that is not announced yet serves
// the models loaded in its engine. The placement records still route requests for the runner to this address under that
// incarnation, so copies stay available when an agent restarts during a log outage. It is empty if the records name
// another address, since another agent may then serve the runner. Serving needs no fencing token; orders wait for the
// announcement.
func (c *Core) predecessorIncarnation() string {
	if c.fencing > 0 || !c.configKnown || !c.placementKnown {
		return ""
	}
	state, ok := c.placement.Runner(c.id.Runner)
	if !ok || state.Address != c.id.Address {
		return ""
	}
	return state.Incarnation
}

// servingIncarnation returns the incarnation that requests must name.
func (c *Core) servingIncarnation() string {
	if predecessor := c.predecessorIncarnation(); predecessor != "" {
		return predecessor
	}
	return c.id.Incarnation
}

// addressable reports whether entry hosts can address this agent.
func (c *Core) addressable() bool { return c.fencing > 0 || c.predecessorIncarnation() != "" }

// trackPredecessor records the fencing token of a predecessor that had this agent's address. As this process listens on
// that address, the predecessor has exited: a paused process would still hold the port.
func (c *Core) trackPredecessor() {
	if c.fencing > 0 || !c.placementKnown {
		return
	}
	state, ok := c.placement.Runner(c.id.Runner)
	if !ok || state.Incarnation == c.id.Incarnation {
		return
	}
	c.predecessorFencing = 0
	if state.Address == c.id.Address {
		c.predecessorFencing = state.Fencing
	}
}
