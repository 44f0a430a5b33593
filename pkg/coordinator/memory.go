package coordinator

import "trefoilferry.example/ferry/pkg/fleet"

// freeMemory returns the accelerator memory in MB that models may still take. The room for a full set of the largest
// adapters is set aside, so that adapters never compete with models.
func freeMemory(e *fleet.Engine, r *Runner) float64 {
	free := e.MemoryMB - adapterRoom(e)
	for i := range r.Models {
		free -= e.Models[r.Models[i].Name].WeightsMB
	}
	if m := r.loading(); m != "" && !r.Holds(m) {
		free -= e.Models[m].WeightsMB
	}
	return free
}

func adapterRoom(e *fleet.Engine) float64 {
	largest := 0.0
	for _, m := range e.Models {
		if m.Adapters > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return largest * float64(e.AdapterSlots)
}

// fits reports whether the model fits beside what the runner holds.
func fits(e *fleet.Engine, r *Runner, model string) bool {
	return e.Models[model].WeightsMB <= freeMemory(e, r)
}

// fitsWithout reports whether the model fits once another one is unloaded.
func fitsWithout(e *fleet.Engine, r *Runner, model, victim string) bool {
	return e.Models[model].WeightsMB <= freeMemory(e, r)+e.Models[victim].WeightsMB
}
