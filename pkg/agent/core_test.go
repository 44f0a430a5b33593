package agent

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/object"
	"trefoilferry.example/ferry/pkg/placement"
)

// Guards against orders before the claim was read back, and against orders before the engine knows the fencing number.
func TestOrdersFollowTheirRecords(t *testing.T) {
	s := newCoreSim(t, simIdentity("i1", true), simModel("m", "4GiB"))
	if len(s.appends) != 0 {
		t.Fatal("announced before the engine's report is known")
	}
	s.step(ReportRead{Report: s.report})
	if len(s.appends) != 1 || s.appends[0].GetAgentStart() == nil {
		t.Fatalf("appends %v, want the start", s.appends)
	}
	s.read()
	if len(s.sent) != 1 || s.sent[0].Kind != engine.Fence || s.sent[0].Fencing != 1 {
		t.Fatalf("orders %+v, want a fence", s.sent)
	}
	s.answer(nil)
	for s.appends[len(s.appends)-1].GetClaim() == nil {
		s.now = s.now.Add(time.Second)
		s.step(Tick{})
	}
	s.step(Tick{})
	if len(s.sent) != 0 {
		t.Fatal("load ordered before the accepted claim was read back")
	}
	s.read()
	load := s.carryOut(engine.LoadModel)
	if load.Model != "m" || load.Fencing != 1 {
		t.Fatalf("order %+v", load)
	}
	s.pass(time.Second)
	if got := s.copies(); len(got) != 1 || got[0].State != placement.Ready {
		t.Fatalf("copies %+v, want one ready", got)
	}
	if s.core.view.Models["m"].Version != "1" || s.refusal != nil {
		t.Fatalf("view %+v, refusal %v", s.core.view, s.refusal)
	}
}

// readySim returns a simulation whose runner serves model m.
func readySim(t *testing.T, fencing bool, objects ...*ferrypb.Object) *coreSim {
	t.Helper()
	s := newCoreSim(t, simIdentity("i1", fencing), append(objects, simModel("m", "6GiB"))...)
	if fencing {
		s.carryOut(engine.Fence)
	}
	s.carryOut(engine.LoadModel)
	s.pass(time.Second)
	if got := s.copies(); len(got) != 1 || got[0].State != placement.Ready {
		t.Fatalf("copies %+v, want one ready", got)
	}
	return s
}

// Guards against memory that is given away while a load without an answer may still take effect.
func TestLostLoadKeepsItsMemory(t *testing.T) {
	s := newCoreSim(t, simIdentity("i1", false), simModel("m", "6GiB"))
	lost := s.order(engine.LoadModel)
	s.answer(errLost)
	s.set, _ = object.NewSet(2, []*ferrypb.Object{simModel("n", "6GiB")})
	s.step(ConfigRead{Set: s.set, CaughtUp: true})
	s.pass(30 * time.Second)
	for _, o := range s.sent {
		if o.Model != "m" {
			t.Fatalf("order %+v while %s may still be loaded", o, lost.Model)
		}
	}
	if s.core.held() != 6*gib {
		t.Fatalf("held %d, want the bytes of the lost load", s.core.held())
	}
}

// Guards against a lost order that blocks its runner for good at an engine that honours fencing.
func TestLostLoadIsVoidedByNewFencing(t *testing.T) {
	s := newCoreSim(t, simIdentity("i1", true), simModel("m", "6GiB"))
	s.carryOut(engine.Fence)
	s.order(engine.LoadModel)
	s.answer(errLost)
	s.pass(2 * time.Second)
	s.carryOut(engine.LoadModel)
	s.pass(20 * time.Second)
	fence := s.carryOut(engine.Fence)
	if fence.Fencing <= 1 {
		t.Fatalf("fence %+v, want a newer number", fence)
	}
	s.pass(2 * time.Second)
	if got := s.copies(); len(got) != 1 || got[0].State != placement.Ready || got[0].Unsettled {
		t.Fatalf("copies %+v, want one settled ready copy", got)
	}
}

// Guards against a paused agent that goes on giving orders after its successor has started.
func TestSupersededAgentGivesNoOrders(t *testing.T) {
	s := newCoreSim(t, simIdentity("i1", false), simModel("m", "6GiB"))
	s.order(engine.LoadModel)
	s.append(&ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_AgentStart{AgentStart: &ferrypb.AgentStart{Runner: "r1", Incarnation: "i2", MemoryBytes: 10 * gib}}})
	s.read()
	s.answer(errLost)
	appends := len(s.appends)
	s.pass(time.Minute)
	if len(s.sent) != 0 || len(s.appends) != appends {
		t.Fatalf("superseded agent sent %v and appended %v", s.sent, s.appends[appends:])
	}
	if s.refusal == nil || s.refusal.Code != failure.WrongIncarnation || s.refusal.Outcome != failure.NotRun {
		t.Fatalf("refusal %v", s.refusal)
	}
}

// Guards against a successor that loads another model into memory that its predecessor's order may still take.
func TestSuccessorAdoptsOpenLoad(t *testing.T) {
	for _, applied := range []int{0, 1, 2} {
		s := newCoreSim(t, simIdentity("i1", false), simModel("m", "6GiB"), simModel("n", "6GiB"))
		first := s.order(engine.LoadModel)
		s.restart(simIdentity("i2", false))
		for range applied {
			s.apply(first)
		}
		if applied == 0 {
			s.carryOut(engine.LoadModel)
			s.apply(first)
		}
		s.pass(20 * time.Second)
		if len(s.sent) != 0 {
			t.Fatalf("orders %+v while the predecessor's load of %s may still take effect", s.sent, first.Model)
		}
		if got := s.copies(); len(got) != 1 || got[0].Model != first.Model || got[0].State != placement.Ready {
			t.Fatalf("copies %+v after %d late applications", got, applied)
		}
	}
}

// Guards against a drain that cuts work in progress, gives up the last ready copy or takes new work.
func TestDrainHandsCopyOverAfterWork(t *testing.T) {
	s := readySim(t, true)
	inProgress := versionTarget(placement.Key{Model: "m", Version: "1"})
	s.counts[inProgress] = 1
	s.set, _ = object.NewSet(2, []*ferrypb.Object{simModel("m", "6GiB"), published("drain", "r1")})
	s.step(ConfigRead{Set: s.set, CaughtUp: true})
	if s.refusal == nil || s.refusal.Code != failure.Leaving || s.refusal.Outcome != failure.NotRun {
		t.Fatalf("refusal %v, want leaving at once", s.refusal)
	}
	s.pass(10 * time.Second)
	if got := s.copies(); len(got) != 1 || got[0].State != placement.Ready {
		t.Fatalf("copies %+v: the last ready copy was given up", got)
	}
	s.other("m")
	s.pass(10 * time.Second)
	if got := s.copies(); len(got) != 1 || got[0].State != placement.Released {
		t.Fatalf("copies %+v, want released", got)
	}
	if len(s.sent) != 0 {
		t.Fatalf("orders %+v while work is in progress", s.sent)
	}
	delete(s.counts, inProgress)
	s.carryOut(engine.UnloadModel)
	s.pass(3 * time.Second)
	if got := s.copies(); len(got) != 0 {
		t.Fatalf("copies %+v, want none", got)
	}
}

// Guards against a stop that releases copies which the successor needs, or that ends before the work is finished.
func TestStopFinishesWorkAndKeepsCopies(t *testing.T) {
	s := readySim(t, true)
	s.counts["m"] = 1
	s.step(StopRequested{})
	s.pass(5 * time.Second)
	if s.stopped || s.refusal == nil || s.refusal.Code != failure.Leaving {
		t.Fatalf("stopped %v, refusal %v", s.stopped, s.refusal)
	}
	delete(s.counts, "m")
	s.pass(time.Second)
	if !s.stopped {
		t.Fatal("agent does not stop after its work is finished")
	}
	if got := s.copies(); len(got) != 1 || got[0].State != placement.Ready {
		t.Fatalf("copies %+v, want the ready copy kept", got)
	}
	s.restart(simIdentity("i2", true))
	s.pass(time.Second)
	if o := s.carryOut(engine.Fence); o.Fencing <= 1 {
		t.Fatalf("fence %+v", o)
	}
	s.pass(3 * time.Second)
	if len(s.sent) != 0 || s.core.view.Models["m"].Version != "1" {
		t.Fatalf("successor moves what the engine holds: orders %+v, models %v", s.sent, s.core.view.Models)
	}
}

// Guards against a stop that follows the end of a drain so closely that the count of work still stems from the drain.
func TestStopRightAfterADrainFinishesWork(t *testing.T) {
	s := readySim(t, true)
	before := s.set
	s.set, _ = object.NewSet(2, []*ferrypb.Object{simModel("m", "6GiB"), published("drain", "r1")})
	s.step(ConfigRead{Set: s.set, CaughtUp: true})
	s.step(WorkCounted{AllClosed: true})
	s.step(ConfigRead{Set: before.At(3), CaughtUp: true})
	if s.refusal != nil {
		t.Fatalf("refusal %v after the drain", s.refusal)
	}
	s.counts["m"] = 1
	s.step(StopRequested{})
	if s.stopped {
		t.Fatal("stopped on a count that is older than the last opening")
	}
	s.pass(5 * time.Second)
	if s.stopped {
		t.Fatal("stopped while work is in progress")
	}
	delete(s.counts, "m")
	s.pass(time.Second)
	if !s.stopped {
		t.Fatal("agent does not stop after its work is finished")
	}
}

// Guards against a model that stays announced after the engine lost it.
func TestLostModelIsFreedAndClaimedAgain(t *testing.T) {
	s := readySim(t, true)
	s.report.Models = nil
	s.report.Instance = "e2"
	s.carryOut(engine.Fence)
	s.pass(3 * time.Second)
	s.carryOut(engine.UnloadModel)
	s.carryOut(engine.LoadModel)
	s.pass(time.Second)
	if got := s.copies(); len(got) != 1 || got[0].State != placement.Ready {
		t.Fatalf("copies %+v, want one ready", got)
	}
}
