package coordinator

import (
	"cmp"
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

// ModelDemand is the demand for one model.
type ModelDemand struct {
	Model string
	// Rate is the accelerator time asked for per second.
	Rate float64
	// Waiting is the number of requests that wait because no runner holds the model.
	Waiting int
	// Idle is the time since the last request.
	Idle time.Duration
}

// PlanInput is all that a plan depends on.
type PlanInput struct {
	Engine  *fleet.Engine
	Runners []*Runner
	Demand  map[string]ModelDemand
	// StoreLoads is the number of loads from the store that may begin now, SurplusLoads that of models that have copies.
	StoreLoads   int
	SurplusLoads int
	Now          time.Time
}

// Action is one change of what a runner holds.
type Action struct {
	Runner *Runner
	// Unload is dropped first; empty for none.
	Unload string
	// Load is empty when only room is made.
	Load string
	// FromStore is set when the load counts against the rate of the weight store.
	FromStore bool
	// Pressure is the demand per copy that decided.
	Pressure float64
	Copies   int
}

const (
	// crowded is the demand per copy, in accelerator seconds per second, above which a model gets another copy.
	crowded = 0.4
	// worthMoving is how many times higher the pressure of the receiver must be than the pressure that the victim's
	// other copies have afterwards; smaller differences do not pay for a load.
	worthMoving = 1.6
	// recentIdle is the time without a request up to which the last copy of a model is kept against other models
	// that have copies already.
	recentIdle = 8 * time.Second
	// idleCost orders victims without demand below all others.
	idleCost = 0.0001
)

// Plan returns the next changes, most urgent first. It plans at most one change for each runner.
func Plan(in PlanInput) []Action {
	p := &planner{in: in, copies: map[string]int{}, serving: map[string]int{}, taken: map[string]bool{}, loads: in.StoreLoads, surplus: in.SurplusLoads}
	for _, r := range in.Runners {
		p.count(r)
	}
	var out []Action
	for _, model := range p.receivers() {
		if a, ok := p.place(model); ok {
			out = append(out, a)
		}
	}
	return out
}

type planner struct {
	in PlanInput
	// copies counts those that serve or will serve, serving only those that serve now.
	copies  map[string]int
	serving map[string]int
	taken   map[string]bool
	// loads and surplus are the loads from the store that may still begin.
	loads   int
	surplus int
}

// count adds the copies of a runner that serve or will serve; copies that leave or cannot be reached do not count.
func (p *planner) count(r *Runner) {
	if r.Server.Draining || r.Unreachable {
		return
	}
	for i := range r.Models {
		if r.Models[i].Name != r.unloading() {
			p.copies[r.Models[i].Name]++
			p.serving[r.Models[i].Name]++
		}
	}
	if m := r.loading(); m != "" && !r.Holds(m) {
		p.copies[m]++
	}
}

// pressure is the demand per copy.
func (p *planner) pressure(model string, copies int) float64 {
	return p.in.Demand[model].Rate / float64(max(copies, 1))
}

// receivers returns the models that need another copy: first those without any, then by demand per copy.
func (p *planner) receivers() []string {
	var out []string
	for name := range p.in.Engine.Models {
		d := p.in.Demand[name]
		missing := p.copies[name] == 0 && (d.Waiting > 0 || d.Rate > forgetRate)
		if missing || (p.copies[name] > 0 && p.pressure(name, p.copies[name]) > crowded) {
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

// option is one way to place a copy.
type option struct {
	action Action
	cost   float64
}

// place finds the cheapest runner for another copy of the model.
func (p *planner) place(model string) (Action, bool) {
	var best *option
	for _, r := range p.in.Runners {
		if !r.usable(p.in.Now) || p.taken[r.Server.ID] || r.Holds(model) {
			continue
		}
		if o, ok := p.optionAt(r, model); ok && (best == nil || o.cost < best.cost) {
			best = &o
		}
	}
	if best == nil {
		return Action{}, false
	}
	a := best.action
	a.Pressure, a.Copies = p.pressure(model, p.copies[model]), p.copies[model]
	p.taken[a.Runner.Server.ID] = true
	p.copies[model]++
	if a.Unload != "" {
		p.copies[a.Unload]--
		p.serving[a.Unload]--
	}
	if a.FromStore {
		p.loads--
		p.surplus--
	}
	return a, true
}

const (
	// storeCost makes a runner that has the weights at hand the better place.
	storeCost = 0.15
	// busyCost prefers runners with little other demand.
	busyCost = 0.2
	// drainCost prefers runners with few requests in progress where a model must go first: the unload waits for them.
	drainCost = 0.02
)

func (p *planner) optionAt(r *Runner, model string) (option, bool) {
	fromStore := !r.keeps(model)
	if fromStore && !p.mayLoad(model) {
		return option{}, false
	}
	a := Action{Runner: r, Load: model, FromStore: fromStore}
	cost := busyCost * p.runnerLoad(r)
	if fromStore {
		cost += storeCost
	}
	if fits(p.in.Engine, r, model) {
		return option{action: a, cost: cost}, true
	}
	victim, loss, ok := p.victim(r, model)
	if !ok {
		return option{}, false
	}
	a.Unload = victim
	return option{action: a, cost: cost + loss + drainCost*float64(r.Running)}, true
}

// mayLoad reports whether a load of the model from the store may begin.
func (p *planner) mayLoad(model string) bool {
	if p.copies[model] > 0 && p.surplus <= 0 {
		return false
	}
	return p.loads > 0
}

// runnerLoad returns the demand that the runner carries if each model's demand is spread over its copies.
func (p *planner) runnerLoad(r *Runner) float64 {
	load := 0.0
	for i := range r.Models {
		name := r.Models[i].Name
		load += p.pressure(name, p.copies[name])
	}
	return load
}

// victim returns the model whose copy at the runner is worth least and makes enough room.
func (p *planner) victim(r *Runner, model string) (string, float64, bool) {
	name, lowest, found := "", 0.0, false
	for i := range r.Models {
		v := r.Models[i].Name
		if !fitsWithout(p.in.Engine, r, model, v) {
			continue
		}
		loss, ok := p.loss(v, model)
		if ok && (!found || loss < lowest) {
			name, lowest, found = v, loss, true
		}
	}
	return name, lowest, found
}

// loss returns what another copy of model costs when a copy of victim goes; false when it is not worth it.
func (p *planner) loss(victim, model string) (float64, bool) {
	d := p.in.Demand[victim]
	missing := p.copies[model] == 0
	if p.serving[victim] > 1 {
		after := p.pressure(victim, p.copies[victim]-1)
		if !missing && after*worthMoving > p.pressure(model, p.copies[model]) {
			return 0, false
		}
		return after + idleCost, true
	}
	if d.Waiting > 0 || d.Rate > forgetRate {
		// A model that is asked for keeps its last copy.
		return 0, false
	}
	if !missing && d.Idle < recentIdle {
		return 0, false
	}
	// Idle last copies go before busy second ones, the longest idle first.
	return idleCost / (1 + d.Idle.Seconds()), true
}
