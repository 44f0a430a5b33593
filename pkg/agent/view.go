package agent

import (
	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/object"
)

// View is the immutable state that traffic goroutines read.
type View struct {
	Identity Identity
	// ServedAs is the incarnation that requests must name: the own one, or that of the predecessor until the agent is announced.
	ServedAs string
	// Fencing is 0 until the agent has announced itself.
	Fencing uint64
	// Refusal refuses all new work; nil while it is accepted.
	Refusal *failure.Failure
	Ready   bool
	Leaving bool
	// Set is the configuration in force; nil until it was read.
	Set             *object.Set
	PlacementOffset uint64
	// Models holds the models that take work, by name.
	Models map[string]ServedModel
	// Report is the engine's last report.
	Report engine.Report
	// Adapters names the resident adapters.
	Adapters map[AdapterKey]bool
	// Copies lists the runner's copies for operators.
	Copies         []*ferrypb.LoadedModel
	MemoryBytes    uint64
	CommittedBytes uint64
	HeldBytes      uint64
	// ServiceRunners is the number of runners of the own service; 0 for a model engine.
	ServiceRunners int
}

// ServedModel is a loaded model that takes work.
type ServedModel struct {
	Version string
	Bytes   uint64
}

// AdapterKey names an adapter of a model.
type AdapterKey struct {
	Model   string
	Adapter string
}

// ConfigOffset returns the offset of the configuration in force.
func (v *View) ConfigOffset() uint64 {
	if v.Set == nil {
		return 0
	}
	return v.Set.Offset
}
