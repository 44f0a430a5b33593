package coordinator

import (
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

// AdapterDemand is a request for an adapter that is not resident on any runner.
type AdapterDemand struct {
	Model   string
	Adapter string
}

// AdapterAction loads an adapter and, where no slot is free, unloads another one first.
type AdapterAction struct {
	Runner *Runner
	Model  string
	Load   string
	// UnloadModel and UnloadAdapter name the adapter to unload; they are empty when a slot is free.
	UnloadModel   string
	UnloadAdapter string
}

// minAdapterIdle is how long an adapter must have been unused before it may be unloaded for another one.
const minAdapterIdle = 300 * time.Millisecond

// PlanAdapter chooses the runner for an adapter: among the runners with the model and a free adapter slot, the one
// with the fewest adapters; if there is none, the runner whose adapter has been unused for the longest time, which is
// unloaded.
func PlanAdapter(e *fleet.Engine, runners []*Runner, d AdapterDemand, now time.Time) (AdapterAction, bool) {
	var best *Runner
	for _, r := range runners {
		if !r.canTakeOrders(now) || !r.HasModel(d.Model) || r.adapterCount() >= e.AdapterSlots {
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
		if !r.canTakeOrders(now) || !r.HasModel(d.Model) {
			continue
		}
		for i := range r.Models {
			for _, a := range r.Models[i].Adapters {
				used := r.AdapterLastUsed[r.Models[i].Name+"/"+a]
				if now.Sub(used) < minAdapterIdle || (best.Runner != nil && !used.Before(oldest)) {
					continue
				}
				oldest = used
				best = AdapterAction{Runner: r, Model: d.Model, Load: d.Adapter, UnloadModel: r.Models[i].Name, UnloadAdapter: a}
			}
		}
	}
	return best, best.Runner != nil
}

// reachableWithAdapter returns the reachable runners on which the adapter is resident.
func reachableWithAdapter(runners []*Runner, model, adapter string) []*Runner {
	return slices.DeleteFunc(slices.Clone(runners), func(r *Runner) bool { return r.Unreachable || !r.HasAdapter(model, adapter) })
}
