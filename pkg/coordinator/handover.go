package coordinator

import (
	"encoding/json"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
)

// carried is the state that the next holder needs: the ages of recent loads from the weight store in milliseconds, by
// service. Without them two holders together would exceed the store's rate.
type carried struct {
	LoadAges map[string][]int64 `json:"load_ages"`
}

// Carry implements lease.Heir.
func (c *Coordinator) Carry() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	state := carried{LoadAges: map[string][]int64{}}
	for service, rate := range c.rates {
		for _, t := range rate.recent(now) {
			state.LoadAges[service] = append(state.LoadAges[service], now.Sub(t).Milliseconds())
		}
	}
	text, err := json.Marshal(state)
	if err != nil {
		return ""
	}
	return string(text)
}

// Inherit implements lease.Heir. Ages count from now, which is later than they were written, so that loads are counted
// longer than necessary rather than too short.
func (c *Coordinator) Inherit(text string) {
	var state carried
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
		rate := &loadRate{limits: c.config.Loads}
		for _, age := range ages {
			rate.began(now.Add(-time.Duration(age) * time.Millisecond))
		}
		c.rates[service] = rate
	}
}
