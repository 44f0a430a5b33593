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

// Guards against load orders that are sent before the claim has been read from the log, or before the engine has
// acknowledged the fencing token.
func TestOrdersWaitForReadRecords(t *testing.T) {
	s := newCoreSim(t, simIdentity("i1", true), simModel("m", "4GiB"))
	if len(s.appends) != 0 {
		t.Fatalf("appends %v before the first engine report, want none", s.appends)
	}
	s.step(ReportRead{Report: s.report})
	if len(s.appends) != 1 || s.appends[0].GetAgentStart() == nil {
		t.Fatalf("appends %v, want one AgentStart", s.appends)
	}
	s.readPlacement()
	if len(s.unanswered) != 1 || s.unanswered[0].Kind != engine.Fence || s.unanswered[0].Fencing != 1 {
		t.Fatalf("orders %+v, want one fence order with fencing token 1", s.unanswered)
	}
	s.answerOrder(nil)
	for s.appends[len(s.appends)-1].GetClaim() == nil {
		s.now = s.now.Add(time.Second)
		s.step(Tick{})
	}
	s.step(Tick{})
	if len(s.unanswered) != 0 {
		t.Fatalf("orders %+v before the claim has been read from the log, want none", s.unanswered)
	}
	s.readPlacement()
	load := s.completeOrder(engine.LoadModel)
	if load.Model != "m" || load.Fencing != 1 {
		t.Fatalf("load order %+v, want model m with fencing token 1", load)
	}
	s.advance(time.Second)
	if got := s.copies(); len(got) != 1 || got[0].State != placement.Ready {
		t.Fatalf("copies %+v, want one ready", got)
	}
	if s.core.view.Models["m"].Version != "1" || s.refusal != nil {
		t.Fatalf("view %+v, refusal %v, want model m at version 1 and no refusal", s.core.view, s.refusal)
	}
}

// readySim returns a simulation whose runner serves model m.
func readySim(t *testing.T, fencing bool, objects ...*ferrypb.Object) *coreSim {
	t.Helper()
	s := newCoreSim(t, simIdentity("i1", fencing), append(objects, simModel("m", "6GiB"))...)
	if fencing {
		s.completeOrder(engine.Fence)
	}
	s.completeOrder(engine.LoadModel)
	s.advance(time.Second)
	if got := s.copies(); len(got) != 1 || got[0].State != placement.Ready {
		t.Fatalf("copies %+v, want one ready", got)
	}
	return s
}

// Guards against reuse of memory while an unanswered load order may still take effect.
func TestLostLoadKeepsItsMemory(t *testing.T) {
	s := newCoreSim(t, simIdentity("i1", false), simModel("m", "6GiB"))
	lost := s.waitOrder(engine.LoadModel)
	s.answerOrder(errNoResponse)
	s.config, _ = object.NewSet(2, []*ferrypb.Object{simModel("n", "6GiB")})
	s.step(ConfigRead{Config: s.config, CaughtUp: true})
	s.advance(30 * time.Second)
	for _, o := range s.unanswered {
		if o.Model != "m" {
			t.Fatalf("order %+v while model %s may still be loaded", o, lost.Model)
		}
	}
	if s.core.heldBytes() != 6*gib {
		t.Fatalf("held bytes %d, want %d for the unanswered load", s.core.heldBytes(), 6*gib)
	}
}

// Guards against an unanswered order that leaves a copy unsettled forever although its engine honours fencing.
func TestLostLoadIsVoidedByNewFencing(t *testing.T) {
	s := newCoreSim(t, simIdentity("i1", true), simModel("m", "6GiB"))
	s.completeOrder(engine.Fence)
	s.waitOrder(engine.LoadModel)
	s.answerOrder(errNoResponse)
	s.advance(2 * time.Second)
	s.completeOrder(engine.LoadModel)
	s.advance(20 * time.Second)
	fence := s.completeOrder(engine.Fence)
	if fence.Fencing <= 1 {
		t.Fatalf("fence %+v, want a fencing token above 1", fence)
	}
	s.advance(2 * time.Second)
	if got := s.copies(); len(got) != 1 || got[0].State != placement.Ready || got[0].Unsettled {
		t.Fatalf("copies %+v, want one settled ready copy", got)
	}
}

// Guards against a paused agent that keeps sending orders after its successor has started.
func TestSupersededAgentSendsNoOrders(t *testing.T) {
	s := newCoreSim(t, simIdentity("i1", false), simModel("m", "6GiB"))
	s.waitOrder(engine.LoadModel)
	s.append(&ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_AgentStart{AgentStart: &ferrypb.AgentStart{Runner: "r1", Incarnation: "i2", MemoryBytes: 10 * gib}}})
	s.readPlacement()
	s.answerOrder(errNoResponse)
	appends := len(s.appends)
	s.advance(time.Minute)
	if len(s.unanswered) != 0 || len(s.appends) != appends {
		t.Fatalf("superseded agent sent orders %v and appended %v, want nothing", s.unanswered, s.appends[appends:])
	}
	if s.refusal == nil || s.refusal.Code != failure.WrongIncarnation || s.refusal.Outcome != failure.NotRun {
		t.Fatalf("refusal %v, want code %s as not_run", s.refusal, failure.WrongIncarnation)
	}
}

// Guards against a successor that loads another model into memory that its predecessor's load order may still use.
func TestSuccessorAdoptsUnansweredLoad(t *testing.T) {
	for _, applied := range []int{0, 1, 2} {
		s := newCoreSim(t, simIdentity("i1", false), simModel("m", "6GiB"), simModel("n", "6GiB"))
		first := s.waitOrder(engine.LoadModel)
		s.restart(simIdentity("i2", false))
		for range applied {
			s.apply(first)
		}
		if applied == 0 {
			s.completeOrder(engine.LoadModel)
			s.apply(first)
		}
		s.advance(20 * time.Second)
		if len(s.unanswered) != 0 {
			t.Fatalf("orders %+v while the predecessor's load of model %s may still take effect, want none", s.unanswered, first.Model)
		}
		if got := s.copies(); len(got) != 1 || got[0].Model != first.Model || got[0].State != placement.Ready {
			t.Fatalf("copies %+v after %d late deliveries of the load, want one ready copy of %s", got, applied, first.Model)
		}
	}
}

// Guards against a drain that interrupts requests in progress, releases the last ready copy or accepts new requests.
func TestDrainReleasesCopyAfterRequestsFinish(t *testing.T) {
	s := readySim(t, true)
	inProgress := versionTarget(placement.ModelKey{Model: "m", Version: "1"})
	s.requestCounts[inProgress] = 1
	s.config, _ = object.NewSet(2, []*ferrypb.Object{simModel("m", "6GiB"), published("drain", "r1")})
	s.step(ConfigRead{Config: s.config, CaughtUp: true})
	if s.refusal == nil || s.refusal.Code != failure.Leaving || s.refusal.Outcome != failure.NotRun {
		t.Fatalf("refusal %v after the drain was published, want code leaving as not_run", s.refusal)
	}
	s.advance(10 * time.Second)
	if got := s.copies(); len(got) != 1 || got[0].State != placement.Ready {
		t.Fatalf("copies %+v, want the last ready copy kept", got)
	}
	s.addReadyCopyElsewhere("m")
	s.advance(10 * time.Second)
	if got := s.copies(); len(got) != 1 || got[0].State != placement.Released {
		t.Fatalf("copies %+v, want one released", got)
	}
	if len(s.unanswered) != 0 {
		t.Fatalf("orders %+v while a request is in progress, want none", s.unanswered)
	}
	delete(s.requestCounts, inProgress)
	s.completeOrder(engine.UnloadModel)
	s.advance(3 * time.Second)
	if got := s.copies(); len(got) != 0 {
		t.Fatalf("copies %+v, want none", got)
	}
}

// Guards against a stop that releases copies, which the successor needs, or that ends before the requests have
// finished.
func TestStopFinishesRequestsAndKeepsCopies(t *testing.T) {
	s := readySim(t, true)
	s.requestCounts["m"] = 1
	s.step(StopRequested{})
	s.advance(5 * time.Second)
	if s.stopped || s.refusal == nil || s.refusal.Code != failure.Leaving {
		t.Fatalf("stopped %v, refusal %v, want code leaving and no stop while a request is in progress", s.stopped, s.refusal)
	}
	delete(s.requestCounts, "m")
	s.advance(time.Second)
	if !s.stopped {
		t.Fatal("agent did not stop after its last request had finished")
	}
	if got := s.copies(); len(got) != 1 || got[0].State != placement.Ready {
		t.Fatalf("copies %+v, want the ready copy kept", got)
	}
	s.restart(simIdentity("i2", true))
	s.advance(time.Second)
	if o := s.completeOrder(engine.Fence); o.Fencing <= 1 {
		t.Fatalf("fence %+v, want a fencing token above 1", o)
	}
	s.advance(3 * time.Second)
	if len(s.unanswered) != 0 || s.core.view.Models["m"].Version != "1" {
		t.Fatalf("successor: orders %+v, models %v, want no orders and model m at version 1", s.unanswered, s.core.view.Models)
	}
}

// Guards against a stop that cuts a request because it relies on a request count taken before the agent last accepted
// requests: a drain ends and a stop follows before the next count.
func TestStopRightAfterDrainFinishesRequests(t *testing.T) {
	s := readySim(t, true)
	before := s.config
	s.config, _ = object.NewSet(2, []*ferrypb.Object{simModel("m", "6GiB"), published("drain", "r1")})
	s.step(ConfigRead{Config: s.config, CaughtUp: true})
	s.step(RequestsCounted{AllClosed: true})
	s.step(ConfigRead{Config: before.WithOffset(3), CaughtUp: true})
	if s.refusal != nil {
		t.Fatalf("refusal %v after the drain, want none", s.refusal)
	}
	s.requestCounts["m"] = 1
	s.step(StopRequested{})
	if s.stopped {
		t.Fatal("stopped on a request count taken before the agent accepted requests again")
	}
	s.advance(5 * time.Second)
	if s.stopped {
		t.Fatal("stopped while a request is in progress")
	}
	delete(s.requestCounts, "m")
	s.advance(time.Second)
	if !s.stopped {
		t.Fatal("agent did not stop after its last request had finished")
	}
}

// Guards against a copy that stays ready in the placement records after the engine has lost the model.
func TestLostModelIsFreedAndClaimedAgain(t *testing.T) {
	s := readySim(t, true)
	s.report.Models = nil
	s.report.Instance = "e2"
	s.completeOrder(engine.Fence)
	s.advance(3 * time.Second)
	s.completeOrder(engine.UnloadModel)
	s.completeOrder(engine.LoadModel)
	s.advance(time.Second)
	if got := s.copies(); len(got) != 1 || got[0].State != placement.Ready {
		t.Fatalf("copies %+v, want one ready", got)
	}
}
