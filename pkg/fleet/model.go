package fleet

import "time"

// Model is a model of a service.
type Model struct {
	Name string
	// WeightsMB is the accelerator memory of the weights.
	WeightsMB float64
	// StoreLoad is the time of a load from the weight store.
	StoreLoad time.Duration
	// DiskLoad is the time of a load from the runner's own disk.
	DiskLoad time.Duration
	// Adapters is the number of adapters, named a1, a2 and so on.
	Adapters  int
	AdapterMB float64
}
