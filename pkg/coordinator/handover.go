package coordinator

import (
	"encoding/json"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
)

// handoverState is the state that the next holder needs: the ages in milliseconds of recent loads from the weight
// store, by service. Without them two holders together would exceed the store's rate.
type handoverState struct {
	LoadAges map[string][]int64 `json:"load_ages"`
}

// ExportState implements lease.StateHandover.
func (c *Coordinator) ExportState() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	state := handoverState{LoadAges: map[string][]int64{}}
	for service, limiter := range c.loadLimiters {
		for _, t := range limiter.recent(now) {
			state.LoadAges[service] = append(state.LoadAges[service], now.Sub(t).Milliseconds())
		}
	}
	text, err := json.Marshal(state)
	if err != nil {
		return ""
	}
	return string(text)
}

// ImportState implements lease.StateHandover. The ages are counted from now, which is later than when they were
// written, so that loads are counted for too long rather than too short a time.
func (c *Coordinator) ImportState(text string) {
	var state handoverState
	if text != "" {
		if err := json.Unmarshal([]byte(text), &state); err != nil {
			c.log.Log(eventlog.RecordRefused, "record", "lease", "reason", err)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset()
	now := time.Now()
	for service, ages := range state.LoadAges {
		limiter := &loadLimiter{limits: c.config.LoadLimits}
		for _, age := range ages {
			limiter.recordStart(now.Add(-time.Duration(age) * time.Millisecond))
		}
		c.loadLimiters[service] = limiter
	}
}
