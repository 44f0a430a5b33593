package coordinator

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/quarantine"
)

// oddStates are states of other writers in the lease record.
var oddStates = map[string]string{
	"load in the future":      `{"load_ages":{"s":[` + strings.Repeat("-1099511627776,", 50) + `0]}}`,
	"load age that overflows": fmt.Sprintf(`{"load_ages":{"s":[%s0]}}`, strings.Repeat(fmt.Sprint(int64(math.MaxInt64/1_000_000)+5_000_000, ","), 50)),
	"loads without end":       `{"load_ages":{"s":[` + strings.Repeat("0,", 20_000) + `0]}}`,
	"entry that never ends":   fmt.Sprintf(`{"barred":[{"parts":["p"],"age":0,"remaining":%d}]}`, int64(1)<<50),
	"crash in the future":     fmt.Sprintf(`{"barred":[{"parts":["p"],"age":%d,"remaining":60000}]}`, -(int64(1) << 40)),
	"entry without parts":     `{"barred":[{"remaining":1000},{"parts":[],"remaining":1000},{"parts":null}]}`,
	"number too large":        `{"load_ages":{"s":[1` + strings.Repeat("0", 40) + `]}}`,
	"number too small":        fmt.Sprintf(`{"load_ages":{"s":[%d]},"barred":[{"parts":["p"],"age":%d,"remaining":%d}]}`, int64(math.MinInt64), int64(math.MinInt64), int64(math.MinInt64)),
	"long text":               `{"barred":[{"parts":["` + strings.Repeat("p", 1<<20) + `"]}]}`,
	"stack without end":       strings.Repeat(`{"barred":[`, 100_000),
	"null":                    "null",
	"list":                    "[]",
}

// Guards against a state in the lease record that holds off all loads from the weight store, or bars requests, for longer
// than a state of this program can: a time that overflows or lies in the future.
func TestOddHandoverStateEnds(t *testing.T) {
	limits := LoadLimits{Window: 5 * time.Second, Factor: 1.1}
	for name, text := range oddStates {
		t.Run(name, func(t *testing.T) {
			checkHandoverState(t, limits, text)
		})
	}
}

func checkHandoverState(t *testing.T, limits LoadLimits, text string) {
	t.Helper()
	c := New(Config{LoadLimits: limits}, fixedFleet{}, fixedLease{}, nil, eventlog.Discard())
	c.ObserveState(text)
	c.ImportState(text)
	now := time.Now()
	for service, limiter := range c.loadLimiters {
		if n := len(limiter.starts); n > maxHandoverLoads {
			t.Errorf("%d loads of service %q taken over, want at most %d", n, service, maxHandoverLoads)
		}
		if n := limiter.available(2, true, now.Add(limits.Window+time.Second)); n < 1 {
			t.Errorf("loads of service %q after the window: %d, want some", service, n)
		}
	}
	for _, e := range append(c.judge.Entries(now), c.config.Board.Entries(now)...) {
		if left := e.Until.Sub(now); left > 10*time.Minute || e.LastCrash.After(now) {
			t.Errorf("entry %v for %v with a crash %v ago, want at most 10 min and one in the past", e.Parts, left, now.Sub(e.LastCrash))
		}
	}
	if n := len(c.ExportState()); n > maxHandoverBytes {
		t.Errorf("state of the next record has %d bytes, want at most %d", n, maxHandoverBytes)
	}
}

// Guards against a holder that cannot renew the lease, because callers' prompt parts make its state longer than a record
// of the store.
func TestHandoverStateFitsARecord(t *testing.T) {
	now := time.Now()
	var entries []quarantine.Entry
	for n := range 64 {
		e := quarantine.Entry{LastCrash: now, Until: now.Add(time.Duration(64-n) * time.Second)}
		for part := range 500 {
			e.Parts = append(e.Parts, fmt.Sprintf("%08x", n<<16+part))
		}
		entries = append(entries, e)
	}
	first := New(Config{}, fixedFleet{}, fixedLease{}, nil, eventlog.Discard())
	first.judge.Merge(entries)
	text := first.ExportState()
	if len(text) > maxHandoverBytes {
		t.Errorf("state with long prompts has %d bytes, want at most %d", len(text), maxHandoverBytes)
	}
	second := New(Config{}, fixedFleet{}, fixedLease{}, nil, eventlog.Discard())
	second.ImportState(text)
	if e := second.judge.Entries(time.Now()); len(e) == 0 || e[0].Parts[0] != entries[0].Parts[0] {
		t.Errorf("entries of the next holder: %d, want the ones that last longest", len(e))
	}
}

// Guards against panics and overflows on the state in a lease record of another writer.
func FuzzHandoverState(f *testing.F) {
	f.Add(`{"load_ages":{"s":[1,2]},"barred":[{"parts":["p"],"age":1,"remaining":2}]}`)
	for _, text := range oddStates {
		if len(text) < 16<<10 {
			f.Add(text)
		}
	}
	f.Fuzz(func(t *testing.T, text string) {
		checkHandoverState(t, LoadLimits{Window: 5 * time.Second, Factor: 1.1}, text)
	})
}
