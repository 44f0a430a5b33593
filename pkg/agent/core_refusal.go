package agent

import (
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/timeline"
)

// decideRefusal closes or opens the agent for new work.
func (c *Core) decideRefusal() {
	want := c.wantedRefusal()
	if c.refusal != nil && want != nil && c.refusal.Code == want.Code && c.refusal.Message == want.Message {
		return
	}
	if c.refusal == nil && want == nil && c.view != nil {
		return
	}
	if want != nil && want.Code == failure.Leaving {
		c.note(timeline.ProcessDraining, "runner/"+c.id.Runner, want.Message)
	}
	c.refusal = want
	// The last count may stem from an earlier closure; only a later one shows that no work came in between.
	c.work.AllClosed = false
	c.do(SetRefusal{Failure: want})
}

func (c *Core) wantedRefusal() *failure.Failure {
	switch {
	case c.superseded:
		return failure.New(failure.WrongIncarnation, failure.NotRun, "a newer agent serves this runner")
	case c.stopping:
		return failure.New(failure.Leaving, failure.NotRun, "agent is stopping")
	case c.handingOver():
		return failure.New(failure.Leaving, failure.NotRun, "runner is leaving")
	case !c.configKnown:
		return failure.New(failure.NotReady, failure.NotRun, "configuration is not known yet")
	case !c.announced() && c.isEngine():
		return failure.New(failure.NotReady, failure.NotRun, "agent is not announced yet")
	}
	return nil
}

// handingOver reports whether the runner's copies are to be served elsewhere: a published drain, or the platform
// takes the host away. A stop of the agent alone is no reason, since its successor adopts what the engine holds.
func (c *Core) handingOver() bool {
	if c.set != nil && c.set.Drained(c.id.Runner) {
		return true
	}
	for _, h := range c.hosts {
		if h.Name == c.id.Runner && h.State == infra.HostLeaving {
			return true
		}
	}
	return false
}

// decideStop ends the process once the last request is finished. It does not wait for an append, which a log outage
// could delay without bound; the successor finds the record if it was stored.
func (c *Core) decideStop() {
	if !c.stopping || c.stopped || !c.work.AllClosed || c.work.Total > 0 {
		return
	}
	c.stopped = true
	c.do(Stop{})
}
