package coordinator

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
)

// Guards against two holders that together start more loads than the weight store allows, because each counted only
// its own (found on trouble-2 of apdd-orders, holders stopped in turn).
func TestSuccessorCountsLoadsOfPredecessor(t *testing.T) {
	config := Config{LoadLimits: LoadLimits{Window: 5 * time.Second, Factor: 1.1}}
	first := New(config, fixedFleet{}, fixedLease{}, nil, eventlog.Discard())
	limiter := &loadLimiter{limits: config.LoadLimits}
	first.loadLimiters["s"] = limiter
	now := time.Now()
	initial := limiter.available(2.1, true, now)
	for range 5 {
		limiter.recordStart(now)
	}
	second := New(config, fixedFleet{}, fixedLease{}, nil, eventlog.Discard())
	second.ImportState(first.ExportState())
	if got := second.loadLimiters["s"].available(2.1, true, time.Now()); got != initial-5 {
		t.Errorf("loads that the successor may start: %d, want %d", got, initial-5)
	}
	second.ImportState("{")
	if len(second.loadLimiters) != 0 {
		t.Errorf("load counts after an unreadable record: %d services, want 0", len(second.loadLimiters))
	}
}
