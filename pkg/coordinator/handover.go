package coordinator

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/quarantine"
)

// handoverState is the state that the next holder needs: the ages in milliseconds of recent loads from the weight
// store, by service. Without them two holders together would exceed the store's rate.
type handoverState struct {
	LoadAges map[string][]int64 `json:"load_ages"`
	// Barred holds the requests that crash runners.
	Barred []barredPrompt `json:"barred,omitempty"`
	// Used is what was used of shared allowances within the last quarters of their windows, the latest first.
	Used map[string][4]int64 `json:"used,omitempty"`
}

// maxHandoverAllowances bounds the allowances whose use is exported; each takes about 50 bytes.
const maxHandoverAllowances = 500

// exportUse exports the use of allowances, none if there are too many for the record.
func exportUse(use map[string][4]float64) map[string][4]int64 {
	if len(use) > maxHandoverAllowances {
		return nil
	}
	out := make(map[string][4]int64, len(use))
	for name, parts := range use {
		var units [4]int64
		for i := range parts {
			units[i] = int64(math.Ceil(parts[i]))
		}
		out[name] = units
	}
	return out
}

// use returns the use of allowances in the state; negative numbers of another writer count as none.
func (s *handoverState) use() map[string][4]float64 {
	out := make(map[string][4]float64, len(s.Used))
	for name, units := range s.Used {
		var parts [4]float64
		for i := range units {
			parts[i] = float64(max(units[i], 0))
		}
		out[name] = parts
	}
	return out
}

const (
	// maxHandoverBytes bounds the exported state. The platform's store takes records of up to 256 KB; a holder whose state
	// does not fit into one could not renew the lease.
	maxHandoverBytes = 64 << 10
	// maxLoadAge is the age in milliseconds from which a load no longer counts in any window.
	maxLoadAge = int64(time.Hour / time.Millisecond)
	// maxHandoverLoads bounds the loads of one service that are taken over.
	maxHandoverLoads = 1 << 10
	// maxBarredTime is the longest time in milliseconds for which a decision of the quarantine holds, and the age from which
	// a crash tells nothing.
	maxBarredTime = int64(10 * time.Minute / time.Millisecond)
)

// barredPrompt is an entry of the quarantine; times are in milliseconds before and after the export.
type barredPrompt struct {
	Parts     []string `json:"parts"`
	Age       int64    `json:"age"`
	Remaining int64    `json:"remaining"`
}

// exportBarred exports entries, the first ones if they are too long together.
func exportBarred(entries []quarantine.Entry, now time.Time) []barredPrompt {
	out := make([]barredPrompt, 0, len(entries))
	size := 0
	for _, e := range entries {
		for _, part := range e.Parts {
			// A byte that JSON has to escape takes six.
			size += len(part)*6 + len(`"",`)
		}
		if size > maxHandoverBytes/2 {
			break
		}
		out = append(out, barredPrompt{Parts: e.Parts, Age: now.Sub(e.LastCrash).Milliseconds(), Remaining: e.Until.Sub(now).Milliseconds()})
	}
	return out
}

// barredEntries returns the entries of the state. The times are bounded, because the record may come from another writer:
// an entry must end, and runners that survive its parts must be able to lift it.
func (s *handoverState) barredEntries(now time.Time) []quarantine.Entry {
	out := make([]quarantine.Entry, 0, len(s.Barred))
	for _, b := range s.Barred {
		out = append(out, quarantine.Entry{Parts: b.Parts, LastCrash: now.Add(-boundedMillis(b.Age, maxBarredTime)),
			Until: now.Add(boundedMillis(b.Remaining, maxBarredTime))})
	}
	return out
}

// boundedMillis converts milliseconds to a duration from 0 to limit.
func boundedMillis(n, limit int64) time.Duration {
	return time.Duration(min(max(n, 0), limit)) * time.Millisecond
}

// ExportState implements lease.StateHandover.
func (c *Coordinator) ExportState() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	state := handoverState{LoadAges: map[string][]int64{}, Barred: exportBarred(c.judge.List.Entries(now), now)}
	for service, limiter := range c.loadLimiters {
		for _, t := range limiter.recent(now) {
			state.LoadAges[service] = append(state.LoadAges[service], now.Sub(t).Milliseconds())
		}
	}
	state.Used = exportUse(c.ledger.Record(clock.Uptime()))
	text, err := json.Marshal(state)
	if err != nil {
		return ""
	}
	return string(text)
}

// ImportState implements lease.StateHandover. The ages are counted from now, which is later than when they were
// written, so that loads are counted for too long rather than too short a time.
func (c *Coordinator) ImportState(text string) {
	state := c.decodeState(text)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset()
	now := time.Now()
	// The record may be older than the view of the previous holder.
	c.judge.Merge(append(state.barredEntries(now), c.config.Board.Entries(now)...))
	c.priorUse = state.use()
	for service, ages := range state.LoadAges {
		limiter := &loadLimiter{limits: c.config.LoadLimits}
		for _, age := range ages[:min(len(ages), maxHandoverLoads)] {
			// A load in the future would count for as long, so that no load from the store could start until then.
			limiter.recordStart(now.Add(-boundedMillis(age, maxLoadAge)))
		}
		c.loadLimiters[service] = limiter
	}
}

// ObserveState implements lease.StateHandover. A daemon that has just started, or that does not reach the holder, learns
// from the store which requests crash runners.
func (c *Coordinator) ObserveState(text string) {
	state := c.decodeState(text)
	now := time.Now()
	c.config.Board.Merge(state.barredEntries(now), now)
}

// decodeState decodes what a holder has exported; an unreadable text is an empty state.
func (c *Coordinator) decodeState(text string) *handoverState {
	state := &handoverState{}
	if text == "" {
		return state
	}
	if len(text) > maxHandoverBytes {
		c.log.Log(eventlog.RecordRefused, "record", "lease", "reason", "the state of the last holder is longer than "+strconv.Itoa(maxHandoverBytes)+" bytes")
		return state
	}
	if err := json.Unmarshal([]byte(text), state); err != nil {
		c.log.Log(eventlog.RecordRefused, "record", "lease", "reason", err)
		return &handoverState{}
	}
	return state
}
