package coordinator

import (
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/allowance"
	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/gateway"
)

const (
	// lendWhile is the age of the last confirmed renewal up to which no other daemon can hold the lease: the shortest
	// lease.Timing.TakeoverAfter is 1.7 s.
	lendWhile = 1500 * time.Millisecond
	// followIntervals is the number of report intervals within which a daemon that follows this holder reports.
	followIntervals = 5
	// suspendedLogTime is the least time between two lines that lending is suspended.
	suspendedLogTime = 10 * time.Second
	// allowanceCopyWait bounds the delay of a response while there are allowances: requests that begin to wait for units
	// have to wait for it.
	allowanceCopyWait = 50 * time.Millisecond
)

// lendAllowances applies what a daemon tells of its parts of shared allowances and returns what it is lent, and whether
// anything is lent now. first is set if the daemon has had no response in this tenure.
func (c *Coordinator) lendAllowances(report *ferrypb.LoadReport, tenure int64, first bool) (out []*ferrypb.AllowanceGrant, lends bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Uptime()
	c.syncLedger(tenure, now)
	c.ledger.SetInterval(reportInterval(len(c.daemons)))
	uses := make([]allowance.Use, 0, len(report.Allowances))
	for _, m := range report.Allowances {
		uses = append(uses, useFromProto(m))
	}
	lends = c.lends(now)
	grants := c.ledger.Report(report.Daemon, first, uses, lends, now)
	c.logAllowances()
	for i := range grants {
		g := &grants[i]
		out = append(out, &ferrypb.AllowanceGrant{Id: g.ID, Units: uint64(g.Units), Hold: uint64(g.Hold), Pace: uint64(g.Pace), Reserve: uint64(g.Reserve),
			ValidMillis: uint32(g.Valid.Milliseconds()), WaitMillis: uint32(g.Wait.Milliseconds())})
	}
	return out, lends
}

// meetDaemon records a report whose response holds no grants.
func (c *Coordinator) meetDaemon(daemon string, tenure int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Uptime()
	c.syncLedger(tenure, now)
	c.ledger.Report(daemon, true, nil, false, now)
}

// syncLedger applies the limits of the configuration in force.
func (c *Coordinator) syncLedger(tenure int64, now time.Duration) {
	if c.ledgerTenure != tenure {
		c.ledger, c.ledgerTenure, c.ledgerConfig = allowance.NewLedger(c.lease.Daemons()), tenure, nil
		c.ledger.Adopt(c.priorUse)
		c.suspended = false
	}
	if config := c.fleet.View().Config; config != nil && config != c.ledgerConfig {
		c.ledgerConfig = config
		c.ledger.SetLimits(gateway.AllowanceLimits(config, c.config.Quotas), now)
	}
}

// lends reports whether parts may be lent: no other daemon holds the lease, or follows another holder.
func (c *Coordinator) lends(now time.Duration) bool {
	age := c.lease.ConfirmedAge()
	ok := age < lendWhile || c.ledger.AllFollow(followIntervals*reportInterval(len(c.daemons)), now)
	c.logSuspension(ok, age, now)
	return ok
}

// logSuspension writes that lending is suspended or resumed. While the store is away a late report of any daemon suspends it
// for a moment, so a line for that is written once in suspendedLogTime at most.
func (c *Coordinator) logSuspension(lends bool, age, now time.Duration) {
	switch {
	case lends && c.suspended:
		c.suspended = false
		c.log.Log(eventlog.AllowancesResumed, "confirmed_age", age, "daemons", len(c.daemons))
	case !lends && !c.suspended && c.ledger.Limited() && (c.suspendedAt == 0 || now-c.suspendedAt >= suspendedLogTime):
		c.suspended, c.suspendedAt = true, now
		c.log.Log(eventlog.AllowancesSuspended, "confirmed_age", age, "daemons", len(c.daemons))
	}
}

// logAllowances writes what has changed.
func (c *Coordinator) logAllowances() {
	for _, change := range c.ledger.TakeChanges() {
		event := eventlog.AllowanceAvailable
		if change.Exhausted {
			event = eventlog.AllowanceExhausted
		}
		c.log.Log(event, "allowance", change.Name, "rate", change.Limit.Rate, "burst", change.Limit.Burst, "level", int(change.Level),
			"outstanding", int(change.Outstanding), "short", int(change.Short), "daemons", change.Daemons)
	}
}

// copyWait returns for how long the response to a report of waiting requests may be delayed.
func (c *Coordinator) copyWait(report *ferrypb.LoadReport) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(report.Allowances) > 0:
		return 0
	case c.ledger.Limited():
		return allowanceCopyWait
	default:
		return longPollTimeout
	}
}
