package coordinator

import (
	"context"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
)

// waitingHold is how long a report of waiting requests is held for news; it bounds the calls of a waiting daemon.
const waitingHold = 200 * time.Millisecond

// Report implements ferrypb.Coordinator.
func (c *Coordinator) Report(ctx context.Context, report *ferrypb.LoadReport) (*ferrypb.FleetView, error) {
	tenure := c.lease.Tenure()
	if tenure == 0 {
		return &ferrypb.FleetView{}, nil
	}
	if report.Tenure != tenure {
		// Versions and indexes of another tenure mean nothing here, also if this daemon held the lease then.
		report.ViewVersion, report.ServersVersion, report.Work, report.Unreached = 0, 0, nil, nil
	}
	waiting, changed := c.take(report, time.Now())
	if waiting {
		c.poke()
		timer := time.NewTimer(waitingHold)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return c.view(report, tenure), nil
}

// take applies a report. It returns whether requests wait at the daemon for something that it could be told now.
func (c *Coordinator) take(report *ferrypb.LoadReport, now time.Time) (bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := false
	for _, d := range report.Demand {
		c.takeDemand(report.Daemon, d, now)
		waiting = waiting || d.Waiting > 0
	}
	state := &daemonState{at: now, work: map[uint32]peerWork{}}
	for _, w := range report.Work {
		state.work[w.Runner] = peerWork{requests: int(w.Requests), tokens: int(w.PromptTokens)}
	}
	c.daemons[report.Daemon] = state
	for _, index := range report.Unreached {
		c.checkSoon(index, now)
	}
	return waiting && report.ViewVersion == c.version, c.changed
}

func (c *Coordinator) takeDemand(daemon string, d *ferrypb.Demand, now time.Time) {
	key := modelKey{service: d.Service, model: d.Model}
	rate, ok := c.demand[key]
	if !ok {
		rate = &demandRate{waiting: map[string]int{}, at: now}
		c.demand[key] = rate
	}
	if d.Requests > 0 {
		rate.add(time.Duration(d.WorkMillis)*time.Millisecond, now)
	}
	if d.Adapter == "" {
		setWaiting(rate.waiting, daemon, int(d.Waiting))
		return
	}
	// Requests for an adapter wait for the model as well when no runner has it.
	setWaiting(rate.waiting, daemon+"/"+d.Adapter, int(d.Waiting))
	wanted := adapterKey{service: d.Service, model: d.Model, adapter: d.Adapter}
	if c.wanted[wanted] == nil {
		c.wanted[wanted] = map[string]int{}
	}
	setWaiting(c.wanted[wanted], daemon, int(d.Waiting))
	if d.Requests == 0 {
		return
	}
	for _, r := range c.runners {
		if r.HoldsAdapter(d.Model, d.Adapter) {
			r.LastUse[d.Model+"/"+d.Adapter] = now
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

// view answers a report.
func (c *Coordinator) view(report *ferrypb.LoadReport, tenure int64) *ferrypb.FleetView {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := &ferrypb.FleetView{Holder: true, Tenure: tenure, Version: c.version, Daemons: uint32(len(c.daemons)), LeasePosition: c.lease.Position()}
	c.addHoldings(out, report.ViewVersion)
	out.Work = c.peerWork(report.Daemon)
	addStore(out, c.fleet.View(), report, time.Now())
	return out
}

// addHoldings adds what changed since the given version; everything for a version that this holder did not give.
func (c *Coordinator) addHoldings(out *ferrypb.FleetView, since uint64) {
	out.HoldingsFull = since == 0 || since > c.version
	if since == c.version {
		return
	}
	for _, r := range c.runners {
		if out.HoldingsFull || r.version > since {
			out.Holdings = append(out.Holdings, holdingMessage(r))
		}
	}
	for id, g := range c.gone {
		if !out.HoldingsFull && g.version > since {
			out.Holdings = append(out.Holdings, &ferrypb.Holding{Runner: id, Gone: true})
		}
	}
}

func holdingMessage(r *Runner) *ferrypb.Holding {
	h := &ferrypb.Holding{Runner: r.Server.ID, Index: r.index, BornMillis: r.Server.BornMillis, Loading: r.loading()}
	for i := range r.Models {
		m := &r.Models[i]
		h.Models = append(h.Models, m.Name)
		for _, a := range m.Adapters {
			h.Adapters = append(h.Adapters, m.Name+"/"+a)
		}
	}
	if m := r.unloading(); m != "" {
		h.Leaving = []string{m}
	}
	return h
}

const (
	// notableTokens and notableRequests are the work of other daemons below which a runner is not named: it delays a
	// first token by less than 20 ms.
	notableTokens   = 500
	notableRequests = 8
)

// peerWork sums the work of all daemons but one.
func (c *Coordinator) peerWork(except string) []*ferrypb.RunnerWork {
	total := map[uint32]peerWork{}
	for name, d := range c.daemons {
		if name == except {
			continue
		}
		for runner, w := range d.work {
			sum := total[runner]
			total[runner] = peerWork{requests: sum.requests + w.requests, tokens: sum.tokens + w.tokens}
		}
	}
	out := make([]*ferrypb.RunnerWork, 0, len(total))
	for runner, w := range total {
		if w.tokens < notableTokens && w.requests < notableRequests {
			continue
		}
		out = append(out, &ferrypb.RunnerWork{Runner: runner, Requests: uint32(max(w.requests, 0)), PromptTokens: uint32(max(w.tokens, 0))})
	}
	return out
}
