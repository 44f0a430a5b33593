package agent

import (
	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/placement"
)

// trackMissing records since when reports have lacked a ready model. If the engine process was replaced, a model that its
// report lacks is lost immediately: a report cannot predate the process that made it.
func (c *Core) trackMissing(replaced bool) {
	since := c.now
	if replaced {
		since = c.now.Add(-c.limits.LostAfter)
	}
	for _, cp := range c.ownCopies() {
		key := keyOf(cp)
		if cp.State != ready || c.loadedVersion(key) {
			delete(c.missingSince, key)
			continue
		}
		if _, ok := c.missingSince[key]; !ok || replaced {
			c.missingSince[key] = since
		}
	}
	for key := range c.missingSince {
		if !c.hasCopy(key) {
			delete(c.missingSince, key)
		}
	}
}

// isLost reports whether the engine has lost a ready model, that is, reports have lacked it for LostAfter.
func (c *Core) isLost(key placement.ModelKey) bool {
	since, ok := c.missingSince[key]
	return ok && c.now.Sub(since) >= c.limits.LostAfter
}

// hasCopy reports whether the placement records show a copy of the model version on this runner.
func (c *Core) hasCopy(key placement.ModelKey) bool {
	for _, cp := range c.ownCopies() {
		if keyOf(cp) == key {
			return true
		}
	}
	return false
}

// hasCopyOfModel reports whether the placement records show a copy of any version of the model on this runner.
func (c *Core) hasCopyOfModel(model string) bool {
	for _, cp := range c.ownCopies() {
		if cp.Model == model {
			return true
		}
	}
	return false
}

// loadedModel returns the engine report's entry for a model; the newest one if several versions are loaded.
func (c *Core) loadedModel(model string) (engine.LoadedModel, bool) {
	newest, found := engine.LoadedModel{}, false
	for _, m := range c.report.Models {
		if m.Model == model && (!found || c.claimOf(m) >= c.claimOf(newest)) {
			newest, found = m, true
		}
	}
	return newest, found
}

// claimOf returns the claim of the last copy of a loaded version; 0 if the placement records show none. Versions are
// loaded in the order of their claims, so the version with the highest claim is the one that the engine serves. Reports
// have no such order.
func (c *Core) claimOf(m engine.LoadedModel) uint64 {
	claim := uint64(0)
	for _, cp := range c.ownCopies() {
		if cp.Model == m.Model && cp.Version == m.Version {
			claim = max(claim, cp.ClaimOffset)
		}
	}
	return claim
}

// loadedVersion reports whether the engine's report contains the model version.
func (c *Core) loadedVersion(key placement.ModelKey) bool {
	for _, m := range c.report.Models {
		if m.Model == key.Model && m.Version == key.Version {
			return true
		}
	}
	return false
}
