package bench

import "sync"

// Collector gathers observations. It is safe for concurrent use.
type Collector struct {
	mu   sync.Mutex
	all  []*Observation
	sent int
	bad  int
}

// Sent counts a request that was started.
func (c *Collector) Sent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
}

// Add keeps an observation.
func (c *Collector) Add(o *Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, o)
	if !o.Whole {
		c.bad++
	}
}

// Progress returns the numbers of started, finished and failed requests.
func (c *Collector) Progress() (sent, done, failed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent, len(c.all), c.bad
}

// All returns the observations in the order of their ends.
func (c *Collector) All() []*Observation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Observation(nil), c.all...)
}
