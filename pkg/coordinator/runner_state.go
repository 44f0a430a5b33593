package coordinator

import "trefoilferry.example/ferry/pkg/fleet"

// RunnerState is a runner's report about itself.
type RunnerState struct {
	StartMillis int64
	// AcceptedOrders is the number of orders accepted since the runner started.
	AcceptedOrders int64
	// Busy is set while an order about a model is in progress.
	Busy   bool
	Models []fleet.ResidentModel
	// LoadingAdapters is the number of adapters that are being loaded; they already occupy slots.
	LoadingAdapters int
	OnDisk          []string
	InMemory        []string
	Draining        bool
}
