package coordinator

import "trefoilferry.example/ferry/pkg/fleet"

// freeMemoryMB returns the accelerator memory in MB that is free for models. Memory for a full set of the largest
// adapters is reserved, so that adapters never compete with models.
func freeMemoryMB(e *fleet.Engine, r *Runner) float64 {
	free := e.MemoryMB - adapterReserveMB(e)
	for i := range r.Models {
		free -= e.Models[r.Models[i].Name].WeightsMB
	}
	if m := r.loadingModel(); m != "" && !r.HasModel(m) {
		free -= e.Models[m].WeightsMB
	}
	return free
}

func adapterReserveMB(e *fleet.Engine) float64 {
	largest := 0.0
	for _, m := range e.Models {
		if m.Adapters > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return largest * float64(e.AdapterSlots)
}

// fits reports whether the model fits in the runner's free memory.
func fits(e *fleet.Engine, r *Runner, model string) bool {
	return e.Models[model].WeightsMB <= freeMemoryMB(e, r)
}

// fitsAfterUnload reports whether the model fits after the victim is unloaded.
func fitsAfterUnload(e *fleet.Engine, r *Runner, model, victim string) bool {
	return e.Models[model].WeightsMB <= freeMemoryMB(e, r)+e.Models[victim].WeightsMB
}
