package coordinator

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
)

// Guards against two holders that together begin more loads than the weight store allows: each counted only its own
// (found on trouble-2 of apdd-orders, holders stopped in turn).
func TestSuccessorCountsLoadsOfPredecessor(t *testing.T) {
	config := Config{Loads: LoadLimits{Window: 5 * time.Second, Factor: 1.1}}
	first := New(config, fixedFleet{}, fixedLease{}, nil, eventlog.Discard())
	rate := &loadRate{limits: config.Loads}
	first.rates["s"] = rate
	now := time.Now()
	total := rate.allowed(2.1, true, now)
	for range 5 {
		rate.began(now)
	}
	second := New(config, fixedFleet{}, fixedLease{}, nil, eventlog.Discard())
	second.Inherit(first.Carry())
	if got := second.rates["s"].allowed(2.1, true, time.Now()); got != total-5 {
		t.Errorf("the successor may begin %d loads, want %d", got, total-5)
	}
	second.Inherit("{")
	if len(second.rates) != 0 {
		t.Error("an unreadable record left counts behind")
	}
}
