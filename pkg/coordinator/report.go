package coordinator

import (
	"context"
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
	if report.Tenure != tenure {
		// Versions and indexes of another tenure are invalid here, even if this daemon held the lease then.
		report.ViewVersion, report.ServersVersion, report.Work, report.Unreached = 0, 0, nil, nil
	}
	waiting, changed := c.applyReport(report, time.Now())
	if waiting {
		c.requestPlan()
		timer := time.NewTimer(longPollTimeout)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return c.buildView(report, tenure), nil
}

// applyReport applies a report. It returns true if requests wait at the daemon and its view is current, so that the
// response should wait for a change, and a channel that is closed at the next change.
func (c *Coordinator) applyReport(report *ferrypb.LoadReport, now time.Time) (bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := false
	for _, d := range report.Demand {
		c.applyDemand(report.Daemon, d, now)
		waiting = waiting || d.Waiting > 0
	}
	state := &daemonReport{receivedAt: now, work: map[uint32]runnerWork{}}
	for _, w := range report.Work {
		state.work[w.Runner] = runnerWork{requests: int(w.Requests), promptTokens: int(w.PromptTokens)}
	}
	c.daemons[report.Daemon] = state
	for _, index := range report.Unreached {
		c.requestRefresh(index, now)
	}
	return waiting && report.ViewVersion == c.viewVersion, c.viewChanged
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
	out := &ferrypb.FleetView{Holder: true, Tenure: tenure, Version: c.viewVersion, Daemons: uint32(len(c.daemons)), LeasePosition: c.lease.Position()}
	c.addHoldings(out, report.ViewVersion)
	out.Work = c.sumPeerWork(report.Daemon)
	addStoreState(out, c.fleet.View(), report, time.Now())
	return out
}

// addHoldings adds the runners that changed since the given view version, or all of them if the version is not one of
// this holder's.
func (c *Coordinator) addHoldings(out *ferrypb.FleetView, since uint64) {
	out.HoldingsFull = since == 0 || since > c.viewVersion
	if since == c.viewVersion {
		return
	}
	for _, r := range c.runners {
		if out.HoldingsFull || r.version > since {
			out.Holdings = append(out.Holdings, holdingToProto(r))
		}
	}
	for id, g := range c.removed {
		if !out.HoldingsFull && g.version > since {
			out.Holdings = append(out.Holdings, &ferrypb.Holding{Runner: id, Gone: true})
		}
	}
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

// sumPeerWork sums the work in progress of all daemons except one, by runner.
func (c *Coordinator) sumPeerWork(except string) []*ferrypb.RunnerWork {
	total := map[uint32]runnerWork{}
	for name, d := range c.daemons {
		if name == except {
			continue
		}
		for runner, w := range d.work {
			sum := total[runner]
			total[runner] = runnerWork{requests: sum.requests + w.requests, promptTokens: sum.promptTokens + w.promptTokens}
		}
	}
	out := make([]*ferrypb.RunnerWork, 0, len(total))
	for runner, w := range total {
		if w.promptTokens < minPeerTokens && w.requests < minPeerRequests {
			continue
		}
		out = append(out, &ferrypb.RunnerWork{Runner: runner, Requests: uint32(max(w.requests, 0)), PromptTokens: uint32(max(w.promptTokens, 0))})
	}
	return out
}
