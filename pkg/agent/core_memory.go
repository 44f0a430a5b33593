package agent

import (
	"trefoilferry.example/ferry/pkg/failure"
)

// memory returns the accelerator memory of the engine in bytes: the setting, but no more than the engine reports.
func (c *Core) memory() uint64 {
	if c.id.MemoryBytes == 0 {
		return c.report.MemoryBytes
	}
	if c.report.MemoryBytes == 0 {
		return c.id.MemoryBytes
	}
	return min(c.id.MemoryBytes, c.report.MemoryBytes)
}

// arena returns the bytes that are kept for adapters: every slot may hold the largest published one.
func (c *Core) arena() uint64 { return c.largestAdapter() * uint64(c.id.AdapterSlots) }

// largestAdapter is looked up once per configuration, because every step asks for it.
func (c *Core) largestAdapter() uint64 {
	if c.set == nil || c.set == c.adaptersOf {
		return c.largestBytes
	}
	c.adaptersOf = c.set
	c.largestBytes = 0
	for _, a := range c.set.Adapters() {
		c.largestBytes = max(c.largestBytes, a.Bytes)
	}
	return c.largestBytes
}

// capacity returns the memory for models in bytes: the engine's memory less the arena of the adapters.
func (c *Core) capacity() uint64 {
	arena := c.arena()
	if arena >= c.memory() {
		return 0
	}
	return c.memory() - arena
}

// followCapacity takes over a capacity that changed with the published adapters.
func (c *Core) followCapacity() {
	if c.ledger != nil {
		c.ledger.SetCapacity(c.capacity())
	}
}

// capacityDue reports whether the announced capacity is no longer the one in force, so that planners must be told. It
// waits for the outstanding order, since an announcement brings a new fencing number.
func (c *Core) capacityDue() bool {
	if !c.isEngine() || c.order != nil {
		return false
	}
	announced, ok := c.placement.Runner(c.id.Runner)
	return ok && announced.Incarnation == c.id.Incarnation && announced.MemoryBytes != c.capacity()
}

// adapterBytes returns the memory of an adapter. One that is no longer published counts as the largest.
func (c *Core) adapterBytes(key AdapterKey) uint64 {
	if s, ok := c.adapters.states[key]; ok && s.bytes > 0 {
		return s.bytes
	}
	if a, ok := c.set.Adapter(key.Adapter); ok {
		return a.Bytes
	}
	return c.largestAdapter()
}

// adaptersTaken returns the memory that adapters take or may take.
func (c *Core) adaptersTaken() uint64 {
	total := uint64(0)
	for key, s := range c.adapters.states {
		if s.phase != adapterAbsent {
			total += c.adapterBytes(key)
		}
	}
	return total
}

// adapterFits reports whether an adapter fits beside the models. Models may hold more than their capacity for a while
// after larger adapters were published.
func (c *Core) adapterFits(key AdapterKey) bool {
	return c.ledger != nil && c.committed()+c.pendingBytes()+c.adaptersTaken()+c.adapterBytes(key) <= c.memory()
}

// refuseAdapter fails the requests that wait for an adapter which nothing can make room for.
func (c *Core) refuseAdapter(key AdapterKey) {
	c.adapters.states[key].failed = failure.New(failure.NotLoaded, failure.NotRun, "no memory for the adapter")
	c.answerWaiters(key)
}

// modelFits reports whether a model of that many bytes fits beside adapters that are larger than their arena, which
// happens after smaller ones were published in their place.
func (c *Core) modelFits(bytes uint64) bool {
	return c.committed()+c.adaptersTaken()+bytes <= c.memory()
}
