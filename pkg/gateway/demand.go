package gateway

import (
	"sync"
	"time"
)

// DemandKey names a model or adapter of a service.
type DemandKey struct {
	Service string
	Model   string
	// Adapter is empty for the model itself.
	Adapter string
}

// DemandCount is the demand since the last report.
type DemandCount struct {
	Requests int
	// Work is the expected accelerator time.
	Work time.Duration
	// Waiting is the number of requests that wait now because no runner holds the model or adapter.
	Waiting int
}

// Demand counts what callers ask for. It is safe for concurrent use.
type Demand struct {
	mu     sync.Mutex
	counts map[DemandKey]*DemandCount
	// Poke receives when a request begins to wait.
	poke chan struct{}
}

// NewDemand returns empty counts.
func NewDemand() *Demand {
	return &Demand{counts: map[DemandKey]*DemandCount{}, poke: make(chan struct{}, 1)}
}

// Poke receives when a request begins to wait for a model or adapter.
func (d *Demand) Poke() <-chan struct{} { return d.poke }

func (d *Demand) count(key DemandKey) *DemandCount {
	c, ok := d.counts[key]
	if !ok {
		c = &DemandCount{}
		d.counts[key] = c
	}
	return c
}

func (d *Demand) arrived(key DemandKey, work time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.count(key)
	c.Requests++
	c.Work += work
}

func (d *Demand) waiting(key DemandKey, change int) {
	d.mu.Lock()
	d.count(key).Waiting += change
	d.mu.Unlock()
	if change <= 0 {
		return
	}
	select {
	case d.poke <- struct{}{}:
	default:
	}
}

// Take returns the counts since the last call. Waiting requests stay counted until they stop waiting.
func (d *Demand) Take() map[DemandKey]DemandCount {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[DemandKey]DemandCount, len(d.counts))
	for key, c := range d.counts {
		out[key] = *c
		if c.Waiting == 0 {
			delete(d.counts, key)
			continue
		}
		c.Requests, c.Work = 0, 0
	}
	return out
}
