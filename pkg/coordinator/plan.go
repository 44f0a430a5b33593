package coordinator

import (
	"cmp"
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

// ModelDemand is the current demand for one model.
type ModelDemand struct {
	Model string
	// Rate is the accelerator time requested per second.
	Rate float64
	// Waiting is the number of requests that are waiting because no runner has the model.
	Waiting int
	// Idle is the time since the latest request.
	Idle time.Duration
}

// PlanInput is everything that a plan depends on.
type PlanInput struct {
	Engine  *fleet.Engine
	Runners []*Runner
	Demand  map[string]ModelDemand
	// MaxStoreLoads is the number of loads from the weight store that may start now; MaxSurplusLoads is the number of
	// those that may be for models that already have a copy.
	MaxStoreLoads   int
	MaxSurplusLoads int
	Now             time.Time
}

// ModelAction is one change of the models on a runner.
type ModelAction struct {
	Runner *Runner
	// Unload is the model to unload first; empty for none.
	Unload string
	// Load is the model to load; empty when the change only frees memory.
	Load string
	// FromStore is set when the load counts against the rate of the weight store.
	FromStore bool
	// Pressure is the demand per copy of the model to load, and Copies its number of copies, on which the plan
	// decided.
	Pressure float64
	Copies   int
}

const (
	// extraCopyPressure is the demand per copy, in accelerator seconds per second, above which a model gets an
	// additional copy.
	extraCopyPressure = 0.4
	// minPressureRatio is the minimum ratio of the pressure of the model to load to the pressure on the victim's
	// remaining copies; a smaller difference is not worth a load.
	minPressureRatio = 1.6
	// minLastCopyIdle is how long a model must have had no request before its last copy may be unloaded for an
	// additional copy of another model.
	minLastCopyIdle = 8 * time.Second
	// idleVictimCost makes victims without demand cheaper than all others.
	idleVictimCost = 0.0001
)

// Plan returns the next changes, most urgent first, with at most one change for each runner.
func Plan(in PlanInput) []ModelAction {
	p := &planner{in: in, copies: map[string]int{}, serving: map[string]int{}, assigned: map[string]bool{}, storeLoadsLeft: in.MaxStoreLoads, surplusLoadsLeft: in.MaxSurplusLoads}
	for _, r := range in.Runners {
		p.countCopies(r)
	}
	var out []ModelAction
	for _, model := range p.modelsNeedingCopies() {
		if a, ok := p.place(model); ok {
			out = append(out, a)
		}
	}
	return out
}

type planner struct {
	in PlanInput
	// copies counts the copies that serve or will serve after the changes in progress; serving counts only those that
	// serve now.
	copies  map[string]int
	serving map[string]int
	// assigned holds the runners that have a change in this plan.
	assigned map[string]bool
	// storeLoadsLeft and surplusLoadsLeft are the loads from the store that this plan may still start.
	storeLoadsLeft   int
	surplusLoadsLeft int
}

// countCopies counts the copies of a runner that serve or will serve. Copies that are being unloaded, and those on
// draining or unreachable runners, do not count.
func (p *planner) countCopies(r *Runner) {
	if r.Server.Draining || r.Unreachable {
		return
	}
	for i := range r.Models {
		if r.Models[i].Name != r.unloadingModel() {
			p.copies[r.Models[i].Name]++
			p.serving[r.Models[i].Name]++
		}
	}
	if m := r.loadingModel(); m != "" && !r.HasModel(m) {
		p.copies[m]++
	}
}

// pressure returns the demand per copy, in accelerator seconds per second.
func (p *planner) pressure(model string, copies int) float64 {
	return p.in.Demand[model].Rate / float64(max(copies, 1))
}

// modelsNeedingCopies returns the models that need another copy: those without any first, then by waiting requests and
// demand per copy.
func (p *planner) modelsNeedingCopies() []string {
	var out []string
	for name := range p.in.Engine.Models {
		d := p.in.Demand[name]
		missing := p.copies[name] == 0 && (d.Waiting > 0 || d.Rate > minDemandRate)
		if missing || (p.copies[name] > 0 && p.pressure(name, p.copies[name]) > extraCopyPressure) {
			out = append(out, name)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		missingA, missingB := p.copies[a] == 0, p.copies[b] == 0
		if missingA != missingB {
			if missingA {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(p.in.Demand[b].Waiting, p.in.Demand[a].Waiting),
			cmp.Compare(p.pressure(b, p.copies[b]), p.pressure(a, p.copies[a])),
			cmp.Compare(a, b),
		)
	})
	return out
}

// candidate is one possible way to place a copy.
type candidate struct {
	action ModelAction
	cost   float64
}

// place chooses the runner on which another copy of the model costs least.
func (p *planner) place(model string) (ModelAction, bool) {
	var best *candidate
	for _, r := range p.in.Runners {
		if !r.canTakeOrders(p.in.Now) || p.assigned[r.Server.ID] || r.HasModel(model) {
			continue
		}
		if o, ok := p.candidateAt(r, model); ok && (best == nil || o.cost < best.cost) {
			best = &o
		}
	}
	if best == nil {
		return ModelAction{}, false
	}
	a := best.action
	a.Pressure, a.Copies = p.pressure(model, p.copies[model]), p.copies[model]
	p.assigned[a.Runner.Server.ID] = true
	p.copies[model]++
	if a.Unload != "" {
		p.copies[a.Unload]--
		p.serving[a.Unload]--
	}
	if a.FromStore {
		p.storeLoadsLeft--
		p.surplusLoadsLeft--
	}
	return a, true
}

const (
	// storeLoadCost makes runners that have the weights cached locally the better choice.
	storeLoadCost = 0.15
	// runnerLoadCost prefers runners with little demand for their other models.
	runnerLoadCost = 0.2
	// unloadWaitCost, per request in progress, prefers runners with few of them where a model must be unloaded first,
	// because the unload waits for them.
	unloadWaitCost = 0.02
)

func (p *planner) candidateAt(r *Runner, model string) (candidate, bool) {
	fromStore := !r.hasLocalWeights(model)
	if fromStore && !p.canLoadFromStore(model) {
		return candidate{}, false
	}
	a := ModelAction{Runner: r, Load: model, FromStore: fromStore}
	cost := runnerLoadCost * p.runnerLoad(r)
	if fromStore {
		cost += storeLoadCost
	}
	if fits(p.in.Engine, r, model) {
		return candidate{action: a, cost: cost}, true
	}
	victim, victimCost, ok := p.victim(r, model)
	if !ok {
		return candidate{}, false
	}
	a.Unload = victim
	return candidate{action: a, cost: cost + victimCost + unloadWaitCost*float64(r.RunningRequests)}, true
}

// canLoadFromStore reports whether a load of the model from the weight store may start.
func (p *planner) canLoadFromStore(model string) bool {
	if p.copies[model] > 0 && p.surplusLoadsLeft <= 0 {
		return false
	}
	return p.storeLoadsLeft > 0
}

// runnerLoad returns the demand on the runner, assuming that each model's demand is spread evenly over its copies.
func (p *planner) runnerLoad(r *Runner) float64 {
	load := 0.0
	for i := range r.Models {
		name := r.Models[i].Name
		load += p.pressure(name, p.copies[name])
	}
	return load
}

// victim returns the model that is cheapest to unload on the runner among those that free enough memory, and its cost.
func (p *planner) victim(r *Runner, model string) (string, float64, bool) {
	name, lowest, found := "", 0.0, false
	for i := range r.Models {
		v := r.Models[i].Name
		if !fitsAfterUnload(p.in.Engine, r, model, v) {
			continue
		}
		cost, ok := p.unloadCost(v, model)
		if ok && (!found || cost < lowest) {
			name, lowest, found = v, cost, true
		}
	}
	return name, lowest, found
}

// unloadCost returns the cost of replacing a copy of victim by a copy of model; false when the replacement is not
// worthwhile.
func (p *planner) unloadCost(victim, model string) (float64, bool) {
	d := p.in.Demand[victim]
	missing := p.copies[model] == 0
	if p.serving[victim] > 1 {
		after := p.pressure(victim, p.copies[victim]-1)
		if !missing && after*minPressureRatio > p.pressure(model, p.copies[model]) {
			return 0, false
		}
		return after + idleVictimCost, true
	}
	if d.Waiting > 0 || d.Rate > minDemandRate {
		// The last copy of a model in demand is kept.
		return 0, false
	}
	if !missing && d.Idle < minLastCopyIdle {
		return 0, false
	}
	// Idle last copies are cheaper to unload than second copies in demand, and the longest idle are the cheapest.
	return idleVictimCost / (1 + d.Idle.Seconds()), true
}
