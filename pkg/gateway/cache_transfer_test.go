package gateway

import (
	"fmt"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

// transferEngine is an engine with fast links between its runners.
func transferEngine(mbps float64) *fleet.Engine {
	return &fleet.Engine{CacheTokens: 200000, CacheTokenBytes: 327680, TransferMbps: mbps}
}

// Load pattern: dossiers with one shared part of 6,300 tokens arrive faster than the runner that has cached it can read
// their own parts. Guards against runners that read the shared part again although they could fetch it within 20 ms: on
// apdd-orders-large 26 of 93 million prompt tokens were read again, and long prompts pause the streams beside them.
func TestBusyOwnerGivesItsCacheAway(t *testing.T) {
	const shared, own = 6300, 2890
	view, c := modelView(6), testChooser()
	for _, mbps := range []float64{1.1e6, 0, 2000} {
		work, owner, spilled := NewTracker(), "", 0
		for n := range 12 {
			j := modelJob(fmt.Sprint("id", n), "", shared, own)
			j.service.Engine = transferEngine(mbps)
			got, ok := c.choose(j, view, work, now)
			if !ok {
				t.Fatalf("request %d: no runner chosen, want one", n)
			}
			if owner == "" {
				owner = got.server.ID
				if got.cacheSource != "" {
					t.Errorf("%v Mbit/s: the first request fetches from %s, want it to read the shared part itself", mbps, got.cacheSource)
				}
			}
			if got.server.ID != owner {
				spilled++
				wantSource := ""
				if mbps == 1.1e6 {
					wantSource = view.Servers[owner].Address
				}
				if first := work.CachedTokens(got.server.ID, j.chain) == 0; first && got.cacheSource != wantSource {
					t.Errorf("%v Mbit/s: request %d at %s fetches from %q, want %q", mbps, n, got.server.ID, got.cacheSource, wantSource)
				}
				if mbps == 1.1e6 && got.prefill > own+shared/5 {
					t.Errorf("request %d is expected to read %d tokens, want at most %d", n, got.prefill, own+shared/5)
				}
			}
			work.BeginAttempt(got.server.ID, got.prefill)
			work.RecordPrompt(got.server.ID, j.chain, 200000)
		}
		if spilled == 0 {
			t.Errorf("%v Mbit/s: all requests at the owner, want some elsewhere", mbps)
		}
	}
}

// Guards against transfers that cost more than they save, and against ones that engines do not offer.
func TestTransferMustPay(t *testing.T) {
	for _, c := range []struct {
		engine *fleet.Engine
		shared int
		owner  string
		want   bool
	}{
		{transferEngine(1.1e6), 6300, "r0", true},
		{transferEngine(1.1e6), 198, "r0", false},
		{transferEngine(2000), 6300, "r0", false},
		{transferEngine(0), 6300, "r0", false},
		{&fleet.Engine{}, 6300, "r0", false},
		{nil, 6300, "r0", false},
		{transferEngine(1.1e6), 6300, "", false},
	} {
		got := planTransfer(c.engine, c.shared, c.owner)
		if (got.source != "") != c.want || got.took > 100*time.Millisecond {
			t.Errorf("transfer of %d tokens from %q with %+v: %+v, want one %v", c.shared, c.owner, c.engine, got, c.want)
		}
	}
}
