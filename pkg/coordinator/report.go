package coordinator

import (
	"context"
	"slices"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
)

// longPollTimeout is how long the response to a report of waiting requests is delayed until the view changes; it
// bounds the rate of calls of a daemon with waiting requests.
const longPollTimeout = 200 * time.Millisecond

// Report implements ferrypb.Coordinator.
func (c *Coordinator) Report(ctx context.Context, report *ferrypb.LoadReport) (*ferrypb.FleetView, error) {
	tenure := c.lease.Tenure()
	if tenure == 0 {
		return &ferrypb.FleetView{}, nil
	}
	if report.Tenure != tenure && report.Tenure != 0 && len(report.HoldingDigests) == 0 && c.isLarge() {
		c.meetDaemon(report.Daemon, tenure)
		// The daemon has the content of an earlier tenure: its next report has the digests of it.
		return &ferrypb.FleetView{Holder: true, Tenure: tenure, LeasePosition: c.lease.Position(), Daemons: c.daemonCount()}, nil
	}
	first := report.Tenure != tenure
	if first {
		// Versions and indexes of another tenure are invalid here, even if this daemon held the lease then.
		report.ViewVersion, report.ServersVersion, report.Work, report.Unreached, report.Speeds = 0, 0, nil, nil, nil
	}
	now := time.Now()
	wanted, previous := c.applyReport(report, now)
	if len(wanted) > 0 {
		c.requestPlan()
		c.awaitCopy(ctx, wanted, c.copyWait(report))
	}
	view := c.buildView(report, tenure)
	// The answer to a delayed report lends as of now, because units run out from when the report was sent.
	view.Allowances, view.Lends = c.lendAllowances(report, tenure, first)
	c.addSpeeds(view, previous, now)
	return view, nil
}

// awaitCopy waits until a further runner has loaded one of the models and adapters, for at most the given time. Other
// changes do not end the wait: under a shift of demand there are many every second, and each would have every daemon
// with waiting requests report again.
func (c *Coordinator) awaitCopy(ctx context.Context, wanted []adapterKey, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	known := -1
	for {
		c.mu.Lock()
		copies, changed := c.countCopies(wanted), c.viewChanged
		c.mu.Unlock()
		if known >= 0 && copies > known {
			return
		}
		known = copies
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// countCopies returns the number of runners that have loaded one of the models, with its adapter unless that is empty,
// summed over the models and adapters.
func (c *Coordinator) countCopies(wanted []adapterKey) int {
	n := 0
	for _, r := range c.runners {
		for _, w := range wanted {
			if r.Server.Service == w.service && (r.HasAdapter(w.model, w.adapter) || (w.adapter == "" && r.HasModel(w.model))) {
				n++
			}
		}
	}
	return n
}

// isLarge reports whether digests are shorter than a complete view.
func (c *Coordinator) isLarge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runners) >= digestBuckets
}

func (c *Coordinator) daemonCount() uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return uint32(len(c.daemons))
}

// applyReport applies a report. If the daemon's view is current, it returns the models and adapters that its requests
// wait for, so that the response should wait for one of them. previous is when the daemon's report before came; the zero
// time for none.
func (c *Coordinator) applyReport(report *ferrypb.LoadReport, now time.Time) (missing []adapterKey, previous time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d, ok := c.daemons[report.Daemon]; ok {
		previous = d.receivedAt
	}
	c.applySpeeds(report, now)
	var wanted []adapterKey
	for _, d := range report.Demand {
		c.applyDemand(report.Daemon, d, now)
		if d.Waiting > 0 {
			wanted = append(wanted, adapterKey{service: d.Service, model: d.Model, adapter: d.Adapter})
		}
	}
	c.setReport(report.Daemon, &daemonReport{receivedAt: now, work: decodeWork(report.Work)})
	c.applyEvidence(report, now)
	c.applyLimits(report, now)
	c.applyLeaving(report, now)
	if now.Sub(c.judgedAt) >= minJudgeInterval && c.judge.Pending(now) {
		c.judgeCrashes(now)
	}
	for _, index := range report.Unreached {
		c.requestRefresh(index, now)
	}
	if report.ViewVersion != c.viewVersion {
		return nil, previous
	}
	return wanted, previous
}

func (c *Coordinator) applyDemand(daemon string, d *ferrypb.Demand, now time.Time) {
	key := modelKey{service: d.Service, model: d.Model}
	rate, ok := c.demand[key]
	if !ok {
		rate = &demandRate{waiting: map[string]int{}, updatedAt: now}
		c.demand[key] = rate
	}
	if d.Requests > 0 {
		rate.add(time.Duration(d.WorkMillis)*time.Millisecond, now)
	}
	if d.Adapter == "" {
		setWaiting(rate.waiting, daemon, int(d.Waiting))
		return
	}
	// Requests for an adapter also wait for the model when no runner has it.
	setWaiting(rate.waiting, daemon+"/"+d.Adapter, int(d.Waiting))
	wanted := adapterKey{service: d.Service, model: d.Model, adapter: d.Adapter}
	if c.adapterWaiting[wanted] == nil {
		c.adapterWaiting[wanted] = map[string]int{}
	}
	setWaiting(c.adapterWaiting[wanted], daemon, int(d.Waiting))
	if d.Requests == 0 {
		return
	}
	for _, r := range c.runners {
		if r.HasAdapter(d.Model, d.Adapter) {
			r.AdapterLastUsed[d.Model+"/"+d.Adapter] = now
		}
	}
}

func setWaiting(waiting map[string]int, name string, n int) {
	if n == 0 {
		delete(waiting, name)
		return
	}
	waiting[name] = n
}

// buildView returns the response to a report.
func (c *Coordinator) buildView(report *ferrypb.LoadReport, tenure int64) *ferrypb.FleetView {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := &ferrypb.FleetView{Holder: true, Tenure: tenure, Daemons: uint32(len(c.daemons)), LeasePosition: c.lease.Position()}
	if len(c.runners) > 0 {
		// A new holder knows no runners until its first plan; daemons keep what they have until then.
		out.Version = c.viewVersion
		c.addHoldings(out, report)
	}
	out.Work = encodeWork(c.peerWork(report.Daemon))
	now := time.Now()
	c.addQuarantine(out, now)
	c.addLimits(out, report.Daemon, now)
	c.addLeaving(out, now)
	addStoreState(out, c.fleet.View(), report, now)
	return out
}

// addHoldings adds the runners that changed since the daemon's view version. If the version is not one of this holder's,
// it adds those in the buckets that differ from the daemon's digests, or all of them to a daemon without digests.
func (c *Coordinator) addHoldings(out *ferrypb.FleetView, report *ferrypb.LoadReport) {
	since := report.ViewVersion
	if since == c.viewVersion {
		return
	}
	resync := since == 0 || since > c.viewVersion
	if resync && len(report.HoldingDigests) > 0 {
		out.HoldingBuckets = c.holdingDigests().differing(report.HoldingDigests)
		for _, r := range c.runners {
			if slices.Contains(out.HoldingBuckets, bucketOf(r.id)) {
				out.Holdings = append(out.Holdings, holdingToProto(r))
			}
		}
		return
	}
	out.HoldingsFull = resync
	for _, r := range c.runners {
		if resync || r.version > since {
			out.Holdings = append(out.Holdings, holdingToProto(r))
		}
	}
	for id, g := range c.removed {
		if !resync && g.version > since {
			out.Holdings = append(out.Holdings, &ferrypb.Holding{Runner: id, Gone: true})
		}
	}
}

// holdingDigests returns the digests of all holdings, which are computed once for each view version.
func (c *Coordinator) holdingDigests() *digests {
	if c.digests == nil || c.digestsVersion != c.viewVersion {
		c.digests, c.digestsVersion = &digests{}, c.viewVersion
		for _, r := range c.runners {
			c.digests.add(r.id, hashHolding(holdingToProto(r)))
		}
	}
	return c.digests
}

func holdingToProto(r *Runner) *ferrypb.Holding {
	h := &ferrypb.Holding{Runner: r.Server.ID, Index: r.index, BornMillis: r.Server.StartMillis, Loading: r.loadingModel()}
	for i := range r.Models {
		m := &r.Models[i]
		h.Models = append(h.Models, m.Name)
		for _, a := range m.Adapters {
			h.Adapters = append(h.Adapters, m.Name+"/"+a)
		}
	}
	if m := r.unloadingModel(); m != "" {
		h.Leaving = []string{m}
	}
	return h
}

const (
	// minPeerTokens and minPeerRequests are the work of other daemons below which a runner is omitted, because it
	// delays a first token by less than 20 ms.
	minPeerTokens   = 500
	minPeerRequests = 8
)

// peerWork returns the work in progress of all daemons except one, by runner.
func (c *Coordinator) peerWork(except string) map[uint32]runnerWork {
	var own map[uint32]runnerWork
	if d, ok := c.daemons[except]; ok {
		own = d.work
	}
	out := make(map[uint32]runnerWork, len(c.totalWork))
	for index, sum := range c.totalWork {
		w := runnerWork{requests: sum.requests - own[index].requests, promptTokens: sum.promptTokens - own[index].promptTokens}
		if w.promptTokens >= minPeerTokens || w.requests >= minPeerRequests {
			out[index] = w
		}
	}
	return out
}
