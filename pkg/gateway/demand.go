package gateway

import (
	"sync"
	"time"
)

// DemandKey identifies a model or adapter of a service.
type DemandKey struct {
	Service string
	Model   string
	// Adapter is empty for the model itself.
	Adapter string
}

// DemandCount is the demand for one model or adapter since the last report.
type DemandCount struct {
	Requests int
	// Work is the expected accelerator time.
	Work time.Duration
	// Waiting is the number of requests that are waiting because no runner has loaded the model or adapter.
	Waiting int
}

// Demand counts the requests for each model and adapter. It is safe for concurrent use.
type Demand struct {
	mu     sync.Mutex
	counts map[DemandKey]*DemandCount
	// waitStarted has capacity 1: it signals that at least one request began to wait.
	waitStarted chan struct{}
}

// NewDemand returns a Demand without counts.
func NewDemand() *Demand {
	return &Demand{counts: map[DemandKey]*DemandCount{}, waitStarted: make(chan struct{}, 1)}
}

// WaitStarted returns a channel that receives when a request begins to wait for a model or adapter.
func (d *Demand) WaitStarted() <-chan struct{} { return d.waitStarted }

func (d *Demand) count(key DemandKey) *DemandCount {
	c, ok := d.counts[key]
	if !ok {
		c = &DemandCount{}
		d.counts[key] = c
	}
	return c
}

func (d *Demand) recordRequest(key DemandKey, work time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.count(key)
	c.Requests++
	c.Work += work
}

// addWaiting changes the number of waiting requests and signals when it grows.
func (d *Demand) addWaiting(key DemandKey, change int) {
	d.mu.Lock()
	d.count(key).Waiting += change
	d.mu.Unlock()
	if change <= 0 {
		return
	}
	select {
	case d.waitStarted <- struct{}{}:
	default:
	}
}

// Take returns the counts and resets them, except that requests stay in Waiting until they stop waiting.
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
