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
	// Arriving are adapters on their way, as MODEL/ADAPTER.
	Arriving []string
	OnDisk   []string
	InMemory []string
	Running  int
	Queued   int
	// UsedTokens of CacheTokens cannot be evicted.
	UsedTokens  int
	CacheTokens int
	Draining    bool
}
