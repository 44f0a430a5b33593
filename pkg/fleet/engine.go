package fleet

// Engine describes the model engine that every runner of a service has.
type Engine struct {
	// BatchSlots is the number of requests that a runner processes concurrently.
	BatchSlots int
	// CacheTokens is the capacity of a runner's KV cache in tokens.
	CacheTokens int
	// MemoryMB is the accelerator memory of a runner for weights and adapters.
	MemoryMB float64
	// AdapterSlots is the maximum number of adapters that can be resident on a runner.
	AdapterSlots int
	// LoadsPerSecond is the rate of model loads that the weight store sustains for all runners together.
	LoadsPerSecond float64
	Models         map[string]Model
	// ModelOrder lists the model names in the order of the configuration.
	ModelOrder []string
}
