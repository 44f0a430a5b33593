package fleet

import "time"

// Model describes a model that a service offers.
type Model struct {
	Name string
	// WeightsMB is the accelerator memory that the weights take.
	WeightsMB float64
	// StoreLoad is the duration of a load from the weight store.
	StoreLoad time.Duration
	// DiskLoad is the duration of a load from the runner's local disk.
	DiskLoad time.Duration
	// Adapters is the number of adapters of the model; they are named a1, a2 and so on.
	Adapters  int
	AdapterMB float64
}
