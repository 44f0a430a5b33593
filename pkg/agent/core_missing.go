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
		if !c.holds(key) {
			delete(c.missingSince, key)
		}
	}
}

// isLost reports whether the engine has lost a ready model, that is, reports have lacked it for LostAfter.
func (c *Core) isLost(key placement.Key) bool {
	since, ok := c.missingSince[key]
	return ok && c.now.Sub(since) >= c.limits.LostAfter
}

// holds reports whether the placement records show a copy of the model version on this runner.
func (c *Core) holds(key placement.Key) bool {
	for _, cp := range c.ownCopies() {
		if keyOf(cp) == key {
			return true
		}
	}
	return false
}

// holdsModel reports whether the placement records show a copy of any version of the model on this runner.
func (c *Core) holdsModel(model string) bool {
	for _, cp := range c.ownCopies() {
		if cp.Model == model {
			return true
		}
	}
	return false
}

// loaded returns the last entry for a model in the engine's report.
func (c *Core) loaded(model string) (engine.LoadedModel, bool) {
	for i := len(c.report.Models) - 1; i >= 0; i-- {
		if c.report.Models[i].Model == model {
			return c.report.Models[i], true
		}
	}
	return engine.LoadedModel{}, false
}

func (c *Core) loadedVersion(key placement.Key) bool {
	for _, m := range c.report.Models {
		if m.Model == key.Model && m.Version == key.Version {
			return true
		}
	}
	return false
}
