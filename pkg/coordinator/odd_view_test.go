package coordinator

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/eventlog"
)

// Guards against a daemon that stops reporting for days, because a view names more daemons than there can be.
func TestOddNumberOfDaemonsKeepsReporting(t *testing.T) {
	f := newFollower(t.Context())
	f.reporter.applyPlacement(t.Context(), &ferrypb.FleetView{Holder: true, Version: 1, Daemons: math.MaxUint32})
	if d := f.reporter.reportInterval(); d > time.Minute {
		t.Errorf("time between reports: %v, want at most 1m0s", d)
	}
}

// Load pattern: a holder relays a configuration that this daemon cannot use with each response, some sixteen times a
// second. Guards against a log line for each of them.
func TestRefusedRelayedConfigurationIsToldOnce(t *testing.T) {
	f, out := newFollower(t.Context()), &bytes.Buffer{}
	f.reporter.log = eventlog.NewLogger(out, eventlog.FormatText, log.InfoLevel, "d")
	view := &ferrypb.FleetView{Holder: true, ServersVersion: 1, ConfigVersion: 2, Config: []byte("null")}
	for range 100 {
		f.reporter.applyStoreState(t.Context(), view, time.Now(), 0)
	}
	if n := strings.Count(out.String(), "F0102"); n != 1 {
		t.Errorf("lines of 100 refused configurations: %d, want 1", n)
	}
}
