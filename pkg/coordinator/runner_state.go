package coordinator

import "trefoilferry.example/ferry/pkg/fleet"

// RunnerState is a runner's own report.
type RunnerState struct {
	BornMillis int64
	// Orders is the number of orders accepted since the start.
	Orders int64
	// Busy is set while an order about a model is carried out.
	Busy   bool
	Models []fleet.HeldModel
	// Arriving is the number of adapters on their way; they take places already.
	Arriving int
	OnDisk   []string
	InMemory []string
	Draining bool
}
