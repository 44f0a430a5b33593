package agent

import (
	"trefoilferry.example/ferry/pkg/failure"
)

// memoryBytes returns the accelerator memory of the engine: the configured value, limited to what the engine reports.
func (c *Core) memoryBytes() uint64 {
	if c.id.MemoryBytes == 0 {
		return c.report.MemoryBytes
	}
	if c.report.MemoryBytes == 0 {
		return c.id.MemoryBytes
	}
	return min(c.id.MemoryBytes, c.report.MemoryBytes)
}

// adapterReserve returns the bytes reserved for adapters: enough to hold the largest published adapter in every slot.
func (c *Core) adapterReserve() uint64 { return c.largestAdapter() * uint64(c.id.AdapterSlots) }

// largestAdapter returns the size in bytes of the largest published adapter. It is cached per configuration, because
// every step calls it.
func (c *Core) largestAdapter() uint64 {
	if c.config == nil || c.config == c.largestAdapterConfig {
		return c.largestAdapterBytes
	}
	c.largestAdapterConfig = c.config
	c.largestAdapterBytes = 0
	for _, a := range c.config.Adapters() {
		c.largestAdapterBytes = max(c.largestAdapterBytes, a.MemoryBytes)
	}
	return c.largestAdapterBytes
}

// capacity returns the memory for models in bytes: the engine's memory less the reserve for adapters.
func (c *Core) capacity() uint64 {
	reserve := c.adapterReserve()
	if reserve >= c.memoryBytes() {
		return 0
	}
	return c.memoryBytes() - reserve
}

// updateCapacity passes the capacity, which depends on the published adapters, to the ledger.
func (c *Core) updateCapacity() {
	if c.ledger != nil {
		c.ledger.SetCapacity(c.capacity())
	}
}

// capacityChanged reports whether the capacity differs from the announced one, so that this agent must announce itself
// again for the planners of other agents. It is false while an order is outstanding, since an announcement changes the
// fencing token.
func (c *Core) capacityChanged() bool {
	if !c.isEngine() || c.order != nil {
		return false
	}
	announced, ok := c.placement.Runner(c.id.Runner)
	return ok && announced.Incarnation == c.id.Incarnation && announced.MemoryBytes != c.capacity()
}

// adapterBytes returns the size of an adapter. An adapter that is no longer published counts as large as the largest.
func (c *Core) adapterBytes(key AdapterKey) uint64 {
	if s, ok := c.adapters.states[key]; ok && s.bytes > 0 {
		return s.bytes
	}
	if a, ok := c.config.Adapter(key.Adapter); ok {
		return a.MemoryBytes
	}
	return c.largestAdapter()
}

// adapterBytesInUse returns the memory that adapters use or may use.
func (c *Core) adapterBytesInUse() uint64 {
	total := uint64(0)
	for key, s := range c.adapters.states {
		if s.phase != adapterAbsent {
			total += c.adapterBytes(key)
		}
	}
	for _, key := range c.adapters.superseded {
		total += c.adapterBytes(key)
	}
	return total
}

// adapterFits reports whether an adapter fits beside the models. For a while after larger adapters have been published,
// models may use more than their capacity.
func (c *Core) adapterFits(key AdapterKey) bool {
	return c.ledger != nil && c.committedBytes()+c.pendingBytes()+c.adapterBytesInUse()+c.adapterBytes(key) <= c.memoryBytes()
}

// refuseAdapter fails the requests that wait for an adapter that does not fit even with no other adapter loaded.
func (c *Core) refuseAdapter(key AdapterKey) {
	c.adapters.states[key].loadFailure = failure.New(failure.NotLoaded, failure.NotRun, "no memory for the adapter")
	c.resolveWaiters(key)
}

// modelFits reports whether a model of the given size fits beside the resident adapters. These may exceed the adapter
// reserve after smaller adapters have been published in their place.
func (c *Core) modelFits(bytes uint64) bool {
	return c.committedBytes()+c.adapterBytesInUse()+bytes <= c.memoryBytes()
}
