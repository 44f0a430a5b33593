package engine

import "time"

// Config is the behaviour of an engine. Rates are tokens per second.
type Config struct {
	// Instance identifies the engine process; empty means a random one.
	Instance string
	// MemoryBytes is the accelerator memory; 0 means no limit.
	MemoryBytes uint64
	// PrefillRate is shared by all requests of a step.
	PrefillRate float64
	// DecodeRate holds for a single running request; see batchSlowdown.
	DecodeRate float64
	// MaxRunning is the largest batch.
	MaxRunning int
	// MaxWaiting bounds the queue; requests beyond it are answered 503. 0 means no bound.
	MaxWaiting int
	// CacheBlocks is the size of the prefix cache in blocks.
	CacheBlocks int
	// HonourFencing makes the engine refuse orders with an old fencing number.
	HonourFencing bool
	// ReportLag is the age of the state that GET /report shows.
	ReportLag time.Duration
	// CacheEventLag delays cache events.
	CacheEventLag time.Duration
	// CacheEventGap drops every n-th cache event; 0 drops none.
	CacheEventGap int
	// LoadTime is the time to load a model, in addition to the fetch from the store.
	LoadTime time.Duration
	// StoreURL is the weight store; empty means that loads take LoadTime only.
	StoreURL string
	// Scale multiplies rates and divides times, so that tests are fast; 0 means 1.
	Scale float64
}

// Default is a mid-size engine: 12,000 prompt tokens/s, 40 tokens/s per request, 32 requests at once.
func Default() Config {
	return Config{PrefillRate: 12000, DecodeRate: 40, MaxRunning: 32, CacheBlocks: 4096, Scale: 1}
}

// scaled returns the configuration with Scale applied and defaults for missing rates.
func (c Config) scaled() Config {
	fallback := Default()
	if c.Scale <= 0 {
		c.Scale = 1
	}
	if c.PrefillRate <= 0 {
		c.PrefillRate = fallback.PrefillRate
	}
	if c.DecodeRate <= 0 {
		c.DecodeRate = fallback.DecodeRate
	}
	if c.MaxRunning <= 0 {
		c.MaxRunning = fallback.MaxRunning
	}
	c.PrefillRate *= c.Scale
	c.DecodeRate *= c.Scale
	c.LoadTime = time.Duration(float64(c.LoadTime) / c.Scale)
	return c
}
