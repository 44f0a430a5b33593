package agent

import (
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
)

func (Tick) apply(*Core) {}

func (e ReportRead) apply(c *Core) {
	replaced := c.report.Instance != "" && c.report.Instance != e.Report.Instance
	if replaced {
		c.engineReplaced()
	}
	c.report = e.Report
	c.reportAt = c.now
	c.reportOld = false
	c.engineGone = false
	c.noteLost(replaced)
	if c.ledger != nil {
		c.followCapacity()
		c.ledger.Report(e.Report)
	}
	c.adapters.reconcile(c.now, e.Report)
}

// engineReplaced drops what concerns the former engine process.
func (c *Core) engineReplaced() {
	c.fenceAcked = false
	c.adapters.forgetResidents()
}

func (e ReportFailed) apply(c *Core) {
	if !c.reportOld {
		c.log(eventlog.EngineLost, "error", e.Err)
	}
	c.reportOld = true
	c.engineGone = failure.HasCode(e.Err, failure.ConnectFailed)
}

func (e PlacementRead) apply(c *Core) {
	if e.Offset < c.placementOffset {
		return
	}
	c.placement = e.Placement
	c.placementOffset = e.Offset
	c.placementKnown = c.placementKnown || e.CaughtUp
	c.noteCopies()
	c.notePredecessor()
	c.readOwnStart()
}

func (e ConfigRead) apply(c *Core) {
	c.configKnown = c.configKnown || e.CaughtUp
	if c.set == nil || e.Set.Offset >= c.set.Offset {
		c.set = e.Set
		c.followCapacity()
	}
}

func (e HostsRead) apply(c *Core) {
	c.hostsAt = c.now
	if slices.Equal(c.hosts, e.Hosts) {
		return
	}
	c.hosts = e.Hosts
	c.memo.made = time.Time{}
}

func (e PingDone) apply(c *Core) {
	c.watch.answered(c.now, e.Runner, e.Err == nil)
}

func (e HintReceived) apply(c *Core) {
	c.demand.hint(c.now, e.Model, e.UnmetPerSecond)
}

func (e AdapterWanted) apply(c *Core) {
	c.adapters.want(c.now, e)
}

func (e AdapterDropped) apply(c *Core) {
	c.adapters.drop(c.now, e.Request)
}

func (e WorkCounted) apply(c *Core) {
	c.work = e
	c.demand.served(c.now, e.Served)
}

func (StopRequested) apply(c *Core) {
	c.stopping = true
}
