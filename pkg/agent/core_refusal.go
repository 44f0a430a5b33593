package agent

import (
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/timeline"
)

// decideRefusal updates the failure with which the agent refuses all new requests.
func (c *Core) decideRefusal() {
	want := c.currentRefusal()
	if c.refusal != nil && want != nil && c.refusal.Code == want.Code && c.refusal.Message == want.Message {
		return
	}
	if c.refusal == nil && want == nil && c.view != nil {
		return
	}
	if want != nil && want.Code == failure.Leaving {
		c.addTimeline(timeline.ProcessDraining, "runner/"+c.id.Runner, want.Message)
	}
	c.refusal = want
	// The last count may date from an earlier closure; only a newer count proves that no request has started since.
	c.inFlight.AllClosed = false
	c.emit(SetRefusal{Failure: want})
}

// currentRefusal returns the reason to refuse all new requests; nil if requests are accepted.
func (c *Core) currentRefusal() *failure.Failure {
	switch {
	case c.superseded:
		return failure.New(failure.WrongIncarnation, failure.NotRun, "a newer agent serves this runner")
	case c.stopping:
		return failure.New(failure.Leaving, failure.NotRun, "agent is stopping")
	case c.runnerDraining():
		return failure.New(failure.Leaving, failure.NotRun, "runner is leaving")
	case !c.configKnown:
		return failure.New(failure.NotReady, failure.NotRun, "configuration is not known yet")
	case !c.addressable() && c.isEngine():
		return failure.New(failure.NotReady, failure.NotRun, "agent is not announced yet")
	}
	return nil
}

// runnerDraining reports whether the runner's copies must move to other runners: a drain is published for it, or the host
// list shows its host as leaving. A stop of the agent alone does not drain the runner, since the successor adopts the
// models loaded in the engine.
func (c *Core) runnerDraining() bool {
	if c.config != nil && c.config.Drained(c.id.Runner) {
		return true
	}
	for _, h := range c.hosts {
		if h.Name == c.id.Runner && h.State == infra.HostLeaving {
			return true
		}
	}
	return false
}

// decideStop emits Drained once a stop has been requested and the last request has finished. It does not wait for a
// pending append, which a log outage could delay without bound; the successor reads the record if it was stored.
func (c *Core) decideStop() {
	if !c.stopping || c.stopped || !c.inFlight.AllClosed || c.inFlight.Total > 0 {
		return
	}
	c.stopped = true
	c.emit(Drained{})
}
