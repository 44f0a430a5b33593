package agent

import (
	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/placement"
)

// noteLost notes since when the report lacks a ready model. The report of another engine process is no older than that
// process, so that what it lacks is lost at once.
func (c *Core) noteLost(replaced bool) {
	since := c.now
	if replaced {
		since = c.now.Add(-c.limits.LostAfter)
	}
	for _, own := range c.own() {
		key := keyOf(own)
		if own.State != ready || c.loadedVersion(key) {
			delete(c.lost, key)
			continue
		}
		if _, ok := c.lost[key]; !ok || replaced {
			c.lost[key] = since
		}
	}
	for key := range c.lost {
		if !c.holds(key) {
			delete(c.lost, key)
		}
	}
}

func (c *Core) isLost(key placement.Key) bool {
	since, ok := c.lost[key]
	return ok && c.now.Sub(since) >= c.limits.LostAfter
}

// holds reports whether the records name a copy of the model version on the own runner.
func (c *Core) holds(key placement.Key) bool {
	for _, own := range c.own() {
		if keyOf(own) == key {
			return true
		}
	}
	return false
}

// holdsModel reports whether the records name a copy of any version of the model on the own runner.
func (c *Core) holdsModel(model string) bool {
	for _, own := range c.own() {
		if own.Model == model {
			return true
		}
	}
	return false
}

// loaded returns the newest version of a model that the engine reports.
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
