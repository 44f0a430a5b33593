package coordinator

import (
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

// AdapterDemand is a request for an adapter that no runner holds.
type AdapterDemand struct {
	Model   string
	Adapter string
}

// AdapterAction loads an adapter, after dropping another one where there is no place.
type AdapterAction struct {
	Runner *Runner
	Model  string
	Load   string
	// UnloadModel and UnloadAdapter are empty when there is a free place.
	UnloadModel   string
	UnloadAdapter string
}

// adapterRest is the time since its last use after which an adapter may be dropped for another one.
const adapterRest = 300 * time.Millisecond

// PlanAdapter chooses the runner that gets the adapter: one with the model and a free place, the fewest adapters first,
// else the one whose adapter was not used for the longest time.
func PlanAdapter(e *fleet.Engine, runners []*Runner, d AdapterDemand, now time.Time) (AdapterAction, bool) {
	var best *Runner
	for _, r := range runners {
		if !r.usable(now) || !r.Holds(d.Model) || r.adapterCount() >= e.AdapterSlots {
			continue
		}
		if best == nil || r.adapterCount() < best.adapterCount() {
			best = r
		}
	}
	if best != nil {
		return AdapterAction{Runner: best, Model: d.Model, Load: d.Adapter}, true
	}
	return replaceAdapter(runners, d, now)
}

func replaceAdapter(runners []*Runner, d AdapterDemand, now time.Time) (AdapterAction, bool) {
	var best AdapterAction
	var oldest time.Time
	for _, r := range runners {
		if !r.usable(now) || !r.Holds(d.Model) {
			continue
		}
		for i := range r.Models {
			for _, a := range r.Models[i].Adapters {
				used := r.LastUse[r.Models[i].Name+"/"+a]
				if now.Sub(used) < adapterRest || (best.Runner != nil && !used.Before(oldest)) {
					continue
				}
				oldest = used
				best = AdapterAction{Runner: r, Model: d.Model, Load: d.Adapter, UnloadModel: r.Models[i].Name, UnloadAdapter: a}
			}
		}
	}
	return best, best.Runner != nil
}

// holdersOf returns the runners that hold the adapter and can be reached.
func holdersOf(runners []*Runner, model, adapter string) []*Runner {
	return slices.DeleteFunc(slices.Clone(runners), func(r *Runner) bool { return r.Unreachable || !r.HoldsAdapter(model, adapter) })
}
