package agent

import (
	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/placement"
)

// preloadShare is the share of the adapter slots up to which adapters are loaded ahead of requests. The others are left
// for adapters that requests ask for, so that these do not have to evict.
const preloadShare = 0.5

// preloadAdapters loads the adapters of a model at a floor copy that replaces an older version. The adapters that were
// loaded for requests are lost with the old version. If the log goes out and all agents restart before the next request,
// none of them could load an adapter, and it would be unreachable until the end of the outage. Each adapter is ordered
// once for each copy, into free slots only.
func (c *Core) preloadAdapters() {
	for _, cp := range c.ownCopies() {
		if !c.replacesVersion(cp) {
			continue
		}
		for _, a := range c.config.Adapters() {
			key := AdapterKey{Model: cp.Model, Adapter: a.Name}
			if a.Model != cp.Model || c.preloaded[cp.ClaimOffset][key] {
				continue
			}
			if c.adapters.count(adapterLoading) >= c.maxAdapterLoads() {
				return
			}
			c.markPreloaded(cp.ClaimOffset, key)
			if !c.adapters.known(key) && c.preloadFits(key) {
				c.sendAdapterOrder(key, engine.LoadAdapter, adapterLoading)
			}
		}
	}
}

// replacesVersion reports whether a copy is a floor copy of the configured version that its engine serves, while the
// placement records still show an older copy of another version on any runner.
func (c *Core) replacesVersion(cp placement.Copy) bool {
	model, published := c.config.Model(cp.Model)
	if !published || !cp.Floor || !cp.Live() || cp.Version != model.Version || c.runnerDraining() {
		return false
	}
	for _, other := range c.placement.Copies(cp.Model) {
		if other.Version != cp.Version && other.ClaimOffset < cp.ClaimOffset {
			newest, loaded := c.loadedModel(cp.Model)
			return loaded && newest.Version == cp.Version
		}
	}
	return false
}

func (c *Core) markPreloaded(claim uint64, key AdapterKey) {
	if c.preloaded[claim] == nil {
		c.preloaded[claim] = map[AdapterKey]bool{}
	}
	c.preloaded[claim][key] = true
}

// forgetPreloaded drops the claims that no longer exist.
func (c *Core) forgetPreloaded() {
	for claim := range c.preloaded {
		if _, ok := c.placement.Copy(claim); !ok {
			delete(c.preloaded, claim)
		}
	}
}

// preloadFits reports whether an adapter can be loaded ahead of requests.
func (c *Core) preloadFits(key AdapterKey) bool {
	return c.adapters.slotsInUse() < int(preloadShare*float64(c.id.AdapterSlots)) && c.adapterFits(key)
}
