package placement

import (
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/stream"
)

var _ stream.Fold = (*Fold)(nil)

// testFold appends records to a fold at consecutive offsets.
type testFold struct {
	*Fold
}

func newTestFold() testFold { return testFold{Fold: NewFold()} }

func (r testFold) put(rec *ferrypb.PlacementRecord) uint64 {
	offset := r.Offset() + 1
	r.Apply(offset, &ferrypb.Envelope{Payload: &ferrypb.Envelope_Placement{Placement: rec}})
	return offset
}

func (r testFold) start(runner, domain string, memory uint64) uint64 {
	return r.put(&ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_AgentStart{AgentStart: &ferrypb.AgentStart{
		Runner: runner, Region: "r", FailureDomain: domain, MemoryBytes: memory, Address: runner + ":1"}}})
}

func (r testFold) claim(runner, model, version string, fencing uint64, kind ferrypb.ClaimKind, wanted uint32) uint64 {
	return r.put(&ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_Claim{Claim: &ferrypb.Claim{
		Model: model, Version: version, Runner: runner, Fencing: fencing, Bytes: 10, Kind: kind, Wanted: wanted}}})
}

func (r testFold) markReady(claim uint64, runner string, fencing uint64) {
	r.put(&ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_Ready{Ready: &ferrypb.Ready{
		Claim: claim, Runner: runner, Fencing: fencing}}})
}

func (r testFold) releaseCopy(claim uint64, runner string, fencing uint64, keep uint32) {
	r.put(&ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_Release{Release: &ferrypb.Release{
		Claim: claim, Runner: runner, Fencing: fencing, Keep: keep}}})
}

func (r testFold) free(claim uint64, runner string, fencing uint64) {
	r.put(&ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_Freed{Freed: &ferrypb.Freed{
		Claim: claim, Runner: runner, Fencing: fencing}}})
}

func (r testFold) evictRunner(runner string, fencing uint64) {
	r.put(&ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_Evict{Evict: &ferrypb.Evict{
		Runner: runner, Fencing: fencing}}})
}

const (
	floorKind   = ferrypb.ClaimKind_CLAIM_KIND_FLOOR
	surplusKind = ferrypb.ClaimKind_CLAIM_KIND_SURPLUS
)

// Guards against records of a superseded or evicted agent that still change the placement, and against a successor
// that loses its predecessor's copies.
func TestOnlyTheCurrentIncarnationChangesThePlacement(t *testing.T) {
	r := newTestFold()
	old := r.start("a", "d1", 100)
	c := r.claim("a", "m", "1", old, floorKind, 2)
	next := r.start("a", "d1", 100)
	if refused := r.claim("a", "n", "1", old, floorKind, 2); len(r.Snapshot().Copies("n")) != 0 {
		t.Fatalf("claim %d of a superseded agent was accepted, want it refused", refused)
	}
	r.markReady(c, "a", old)
	if len(r.Snapshot().Ready("m")) != 0 {
		t.Fatal("a ready record of a superseded agent was accepted, want it refused")
	}
	r.markReady(c, "a", next)
	if got := r.Snapshot().Ready("m"); len(got) != 1 || got[0].Fencing != next || got[0].ClaimFencing != old {
		t.Fatalf("ready copies after the takeover: %+v, want one with fencing token %d, claimed with %d", got, next, old)
	}
	r.evictRunner("a", old)
	if len(r.Snapshot().Ready("m")) != 1 {
		t.Fatalf("ready copies after a late evict of the predecessor: %+v, want 1", r.Snapshot().Ready("m"))
	}
	r.evictRunner("a", next)
	r.claim("a", "m", "1", next, floorKind, 2)
	if _, ok := r.Snapshot().Runner("a"); ok || len(r.Snapshot().Copies("m")) != 0 {
		t.Fatalf("copies after the eviction: %+v (runner known %v), want none and an unknown runner", r.Snapshot().Copies("m"), ok)
	}
}

// Guards against more floor copies than wanted when several agents claim at once, and against a version change that is
// blocked by copies of the old version.
func TestFloorClaimsStopAtTheWantedNumber(t *testing.T) {
	r := newTestFold()
	a, b, c := r.start("a", "d1", 100), r.start("b", "d2", 100), r.start("c", "d3", 100)
	r.claim("a", "m", "1", a, floorKind, 2)
	r.claim("a", "m", "1", a, floorKind, 2)
	r.claim("b", "m", "1", b, floorKind, 2)
	lost := r.claim("c", "m", "1", c, floorKind, 2)
	if _, ok := r.Snapshot().Copy(lost); ok || len(r.Snapshot().OpenLoads()) != 2 {
		t.Fatalf("open loads %+v, third floor claim accepted %v, want 2 open loads and the claim refused", r.Snapshot().OpenLoads(), ok)
	}
	r.claim("c", "m", "1", c, surplusKind, 2)
	r.claim("a", "m", "2", a, floorKind, 2)
	if len(r.Snapshot().Copies("m")) != 4 {
		t.Fatalf("copies %+v, want 4", r.Snapshot().Copies("m"))
	}
}

// Guards against agents that release concurrently on old snapshots and leave a published model without a ready copy,
// and against a state that differs after a restore from a checkpoint.
func TestConcurrentReleasesKeepAReadyCopy(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestFold()
		names := []string{"a", "b", "c", "d"}
		fencing := map[string]uint64{}
		for _, n := range names {
			fencing[n] = r.start(n, n, 100)
		}
		first := r.claim("a", "m", "1", fencing["a"], floorKind, 1)
		r.markReady(first, "a", fencing["a"])
		old := r.Snapshot()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := rapid.SampledFrom(names).Draw(t, "runner")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				claim := r.claim(n, "m", rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version"), fencing[n], surplusKind, 1)
				r.markReady(claim, n, fencing[n])
			case 1, 2:
				// Agents act on the same old snapshot, which may still show other ready copies.
				for _, c := range old.ByRunner(n) {
					r.releaseCopy(c.ClaimOffset, n, fencing[n], 1)
				}
			case 3:
				for _, c := range r.Snapshot().ByRunner(n) {
					if c.State == Released {
						r.free(c.ClaimOffset, n, fencing[n])
					}
				}
			case 4:
				fencing[n] = r.start(n, n, 100)
			case 5:
				old = r.Snapshot()
			}
			if len(r.Snapshot().Ready("m")) == 0 {
				t.Fatal("ready copies of model m: 0, want at least 1")
			}
			checkRestore(t, r.Fold)
		}
	})
}

func checkRestore(t *rapid.T, f *Fold) {
	saved := f.Checkpoint()
	g := NewFold()
	if err := g.Restore(saved); err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(saved, g.Checkpoint()) {
		t.Fatalf("state after a restore: %v, want %v", g.Checkpoint(), saved)
	}
}
