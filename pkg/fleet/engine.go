package fleet

// Engine describes the model runners of a service.
type Engine struct {
	// BatchSlots is the number of requests that a runner processes at once.
	BatchSlots int
	// CacheTokens is the capacity of the KV cache of a runner.
	CacheTokens int
	// MemoryMB is the accelerator memory for weights and adapters.
	MemoryMB float64
	// AdapterSlots is the number of adapters that a runner holds at most.
	AdapterSlots int
	// LoadsPerSecond is the rate of the weight store over all runners.
	LoadsPerSecond float64
	Models         map[string]Model
	// ModelOrder keeps the models in the order of the configuration.
	ModelOrder []string
}
