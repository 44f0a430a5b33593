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
		c.resetEngineState()
	}
	c.report = e.Report
	c.reportAt = c.now
	c.reportStale = false
	c.engineUnreachable = false
	c.trackMissing(replaced)
	if c.ledger != nil {
		c.updateCapacity()
		c.ledger.ApplyReport(e.Report)
	}
	c.adapters.reconcile(c.now, c.reportedAdapters(), c.supersededAdapters())
}

// resetEngineState discards the state of the previous engine process.
func (c *Core) resetEngineState() {
	c.fenceAcked = false
	c.adapters.forgetResidents()
}

func (e ReportFailed) apply(c *Core) {
	if !c.reportStale {
		c.log(eventlog.EngineUnavailable, "error", e.Err)
	}
	c.reportStale = true
	c.engineUnreachable = failure.HasCode(e.Err, failure.ConnectFailed)
}

func (e PlacementRead) apply(c *Core) {
	if e.Offset < c.placementOffset {
		return
	}
	c.placement = e.Placement
	c.placementOffset = e.Offset
	c.placementKnown = c.placementKnown || e.CaughtUp
	c.trackReadyCopies()
	c.forgetPreloaded()
	c.trackPredecessor()
	c.applyOwnStart()
}

func (e ConfigRead) apply(c *Core) {
	c.configKnown = c.configKnown || e.CaughtUp
	if c.config == nil || e.Config.Offset >= c.config.Offset {
		c.config = e.Config
		c.updateCapacity()
	}
}

func (e HostsRead) apply(c *Core) {
	c.hostsAt = c.now
	if slices.Equal(c.hosts, e.Hosts) {
		return
	}
	c.hosts = e.Hosts
	c.planCache.computedAt = time.Time{}
}

func (e PingDone) apply(c *Core) {
	c.watch.pingDone(c.now, e.Runner, e.Err == nil)
}

func (e HintReceived) apply(c *Core) {
	c.demand.addHint(c.now, e.Model, e.UnmetPerSecond)
}

func (e AdapterRequested) apply(c *Core) {
	c.adapters.addWaiter(c.now, e)
}

func (e AdapterReleased) apply(c *Core) {
	c.adapters.removeRequest(c.now, e.Request)
}

func (e RequestsCounted) apply(c *Core) {
	c.inFlight = e
	c.demand.updateRates(c.now, e.Served)
}

func (StopRequested) apply(c *Core) {
	c.stopping = true
}
