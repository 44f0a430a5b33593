package engine

import "time"

// Config sets the size, speed and behaviour of an engine. Rates are in tokens per second.
type Config struct {
	// Instance identifies the engine process; empty means a random identifier.
	Instance string
	// MemoryBytes is the accelerator memory; 0 means no limit.
	MemoryBytes uint64
	// PrefillRate is the rate of prompt processing, shared by all running requests.
	PrefillRate float64
	// DecodeRate is the rate of generation of a single running request; larger batches are slower, see batchSlowdown.
	DecodeRate float64
	// MaxRunning is the largest number of requests in the batch.
	MaxRunning int
	// MaxWaiting is the length of the waiting queue; requests beyond it get status 503. 0 means no limit.
	MaxWaiting int
	// CacheBlocks is the size of the prefix cache in blocks.
	CacheBlocks int
	// HonourFencing makes the engine refuse orders whose fencing token is lower than one it has seen.
	HonourFencing bool
	// ReportLag is the delay after which a change of state shows in GET /report.
	ReportLag time.Duration
	// CacheEventLag is the delay after which a cache event shows in GET /cache-events.
	CacheEventLag time.Duration
	// CacheEventGap drops every n-th cache event; 0 drops none.
	CacheEventGap int
	// LoadTime is the time to load a model, in addition to the fetch from the weight store.
	LoadTime time.Duration
	// StoreURL is the base URL of the weight store; empty means that models take LoadTime only and adapters no time.
	StoreURL string
	// Scale multiplies rates and divides LoadTime, to speed up tests; 0 means 1.
	Scale float64
}

// DefaultConfig returns the configuration of a mid-size engine: 12,000 prompt tokens/s, 40 tokens/s per request, 32
// requests at once.
func DefaultConfig() Config {
	return Config{PrefillRate: 12000, DecodeRate: 40, MaxRunning: 32, CacheBlocks: 4096, Scale: 1}
}

// scaled returns the configuration with defaults for missing rates and batch size, and with Scale applied.
func (c Config) scaled() Config {
	defaults := DefaultConfig()
	if c.Scale <= 0 {
		c.Scale = 1
	}
	if c.PrefillRate <= 0 {
		c.PrefillRate = defaults.PrefillRate
	}
	if c.DecodeRate <= 0 {
		c.DecodeRate = defaults.DecodeRate
	}
	if c.MaxRunning <= 0 {
		c.MaxRunning = defaults.MaxRunning
	}
	c.PrefillRate *= c.Scale
	c.DecodeRate *= c.Scale
	c.LoadTime = time.Duration(float64(c.LoadTime) / c.Scale)
	return c
}
