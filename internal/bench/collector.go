package bench

import "sync"

// Collector collects the observations of a run and counts requests. It is safe for concurrent use.
type Collector struct {
	mu           sync.Mutex
	observations []*Observation
	sent         int
	failed       int
}

// CountSent counts a request as sent.
func (c *Collector) CountSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
}

// Add stores the observation of a finished request.
func (c *Collector) Add(o *Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observations = append(c.observations, o)
	if !o.Complete {
		c.failed++
	}
}

// Progress returns the numbers of requests sent so far, and of those finished and failed. Failed requests count as
// finished too.
func (c *Collector) Progress() (sent, done, failed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent, len(c.observations), c.failed
}

// Observations returns the observations in the order in which the requests finished.
func (c *Collector) Observations() []*Observation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*Observation(nil), c.observations...)
}
