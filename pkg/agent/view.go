package agent

import (
	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/object"
)

// View is an immutable snapshot of the control state for the request goroutines.
type View struct {
	Identity Identity
	// ServingIncarnation is the incarnation that requests must name: the agent's own or, until it is announced, its
	// predecessor's.
	ServingIncarnation string
	// Fencing is 0 until the agent has announced itself.
	Fencing uint64
	// Refusal is the failure for all new requests; nil while requests are accepted.
	Refusal *failure.Failure
	// Ready is the result of the readiness check.
	Ready bool
	// Leaving is set while the agent stops or its runner is drained.
	Leaving bool
	// Config is the current configuration; nil until it has been read.
	Config          *object.Set
	PlacementOffset uint64
	// Models holds the models that accept requests, by name.
	Models map[string]ServedModel
	// Report is the engine's last report.
	Report engine.LoadReport
	// Adapters is the set of resident adapters.
	Adapters map[AdapterKey]bool
	// LoadsAdapters is set while the agent can load adapters that are not resident.
	LoadsAdapters bool
	// CopyStatuses describes the runner's copies for status responses.
	CopyStatuses []*ferrypb.LoadedModel
	// MemoryBytes is the memory for models, CommittedBytes the reserved part of it, and HeldBytes the reserved part of
	// unloaded models for which a load order may still arrive.
	MemoryBytes    uint64
	CommittedBytes uint64
	HeldBytes      uint64
	// ServiceRunners is the number of runners of this agent's service; 0 for a model engine.
	ServiceRunners int
}

// ServedModel is a loaded model that accepts requests.
type ServedModel struct {
	Version string
	Bytes   uint64
}

// AdapterKey identifies an adapter of a model.
type AdapterKey struct {
	Model   string
	Adapter string
}

// servesAdapter reports whether an adapter is resident or can be loaded.
func (v *View) servesAdapter(key AdapterKey) bool { return v.Adapters[key] || v.LoadsAdapters }

// ConfigOffset returns the offset of the current configuration.
func (v *View) ConfigOffset() uint64 {
	if v.Config == nil {
		return 0
	}
	return v.Config.Offset
}
