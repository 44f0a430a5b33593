package gateway

import "trefoilferry.example/ferry/pkg/fleet"

// Holding is the set of models and adapters that a model runner has loaded.
type Holding struct {
	// BornMillis identifies the incarnation of the runner: its start in Unix milliseconds.
	BornMillis int64
	Models     map[string]bool
	// Adapters has keys of the form MODEL/ADAPTER.
	Adapters map[string]bool
	// Unloading holds the models that are being unloaded; they get no new requests.
	Unloading map[string]bool
	// Loading is the model that is being loaded; empty if none.
	Loading string
}

// Serves reports whether the runner can run a request for the model and adapter now.
func (h Holding) Serves(model, adapter string) bool {
	if !h.Models[model] || h.Unloading[model] {
		return false
	}
	return adapter == "" || h.Adapters[model+"/"+adapter]
}

// reportedHolding returns the models and adapters that the server itself reported.
func reportedHolding(s *fleet.Server) Holding {
	h := Holding{BornMillis: s.StartMillis, Models: map[string]bool{}, Adapters: map[string]bool{}}
	for _, m := range s.Models {
		h.Models[m.Name] = true
		for _, a := range m.Adapters {
			h.Adapters[m.Name+"/"+a] = true
		}
	}
	return h
}
