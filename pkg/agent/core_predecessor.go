package agent

// predecessor returns the incarnation under which an agent that is not announced yet serves what its engine holds. The
// records route requests for the runner to its address under that name, so that a restart during a log outage takes no copy
// away. It is empty when the records name another address: then another agent may serve the runner. Serving needs no
// fencing number; orders wait for the announcement.
func (c *Core) predecessor() string {
	if c.fencing > 0 || !c.configKnown || !c.placementKnown {
		return ""
	}
	state, ok := c.placement.Runner(c.id.Runner)
	if !ok || state.Address != c.id.Address {
		return ""
	}
	return state.Incarnation
}

// servedAs returns the incarnation that requests must name.
func (c *Core) servedAs() string {
	if former := c.predecessor(); former != "" {
		return former
	}
	return c.id.Incarnation
}

// announced reports whether entry hosts can address this agent.
func (c *Core) announced() bool { return c.fencing > 0 || c.predecessor() != "" }

// notePredecessor remembers the fencing number of a predecessor at the own address. This process listens there, so the
// predecessor has exited: a paused process would still hold the port.
func (c *Core) notePredecessor() {
	if c.fencing > 0 || !c.placementKnown {
		return
	}
	state, ok := c.placement.Runner(c.id.Runner)
	if !ok || state.Incarnation == c.id.Incarnation {
		return
	}
	c.exitedFencing = 0
	if state.Address == c.id.Address {
		c.exitedFencing = state.Fencing
	}
}
