package coordinator

import "trefoilferry.example/ferry/pkg/availability"

// incarnation returns the incarnation of the runner.
func (r *Runner) incarnation() availability.Incarnation {
	return availability.Incarnation{ID: r.id, StartMillis: r.Server.StartMillis}
}

// applyAvailability applies what runners have told this daemon: models are loaded elsewhere before a runner that leaves is
// gone.
func (c *Coordinator) applyAvailability() {
	for _, r := range c.runners {
		if c.config.Availability.Leaving(r.incarnation()) {
			r.Server.Draining = true
		}
	}
}
