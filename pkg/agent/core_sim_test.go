package agent

import (
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/object"
	"trefoilferry.example/ferry/pkg/placement"
)

const gib = uint64(1) << 30

// reporter is the part of testing.T that the simulation uses; rapid.T has it too.
type reporter interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// coreSim drives cores with a virtual clock, a placement log in memory and an engine whose orders the test answers.
type coreSim struct {
	t      reporter
	now    time.Time
	fold   *placement.Fold
	offset uint64
	set    *object.Set
	report engine.Report
	core   *Core
	// sent are the orders that were not answered yet.
	sent    []engine.Order
	refusal *failure.Failure
	closed  map[string]bool
	answers map[string]*failure.Failure
	pings   []string
	appends []*ferrypb.PlacementRecord
	stopped bool
	counts  map[string]int
}

func newCoreSim(t reporter, id Identity, objects ...*ferrypb.Object) *coreSim {
	t.Helper()
	set, problems := object.NewSet(1, objects)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	s := &coreSim{t: t, now: time.Unix(1000, 0), fold: placement.NewFold(), set: set,
		report:  engine.Report{Instance: "e1", HonoursFencing: id.HonoursFencing, MaxRunning: 4},
		closed:  map[string]bool{},
		answers: map[string]*failure.Failure{}, counts: map[string]int{}}
	s.restart(id)
	return s
}

func simIdentity(incarnation string, fencing bool) Identity {
	return Identity{Runner: "r1", Incarnation: incarnation, Address: "127.0.0.1:1", Region: "ege", FailureDomain: "ege-1",
		MemoryBytes: 10 * gib, Accelerators: 1, AdapterSlots: 2, HonoursFencing: fencing}
}

func simLimits() Limits {
	return Limits{StoreConcurrency: 3, AdapterInFlight: 24, WatchInterval: time.Second, Silence: 15 * time.Second,
		ResendAfter: 15 * time.Second, RetryAfter: time.Second, LostAfter: 2 * time.Second}
}

func simModel(name, bytes string) *ferrypb.Object {
	return published("model", name, "version", "1", "bytes", bytes, "min_copies", "1")
}

// restart replaces the core by that of a new process; nothing of the old one is kept.
func (s *coreSim) restart(id Identity) {
	s.core = NewCore(id, simLimits(), placement.Plan)
	s.sent = nil
	s.step(ConfigRead{Set: s.set, CaughtUp: true})
	s.read()
}

// step feeds one event and carries the actions out; appends take effect at once but are read back only by read.
func (s *coreSim) step(e Event) {
	s.t.Helper()
	for _, a := range s.core.Step(s.now, e) {
		switch a := a.(type) {
		case AppendRecord:
			s.appends = append(s.appends, a.Record)
			offset := s.append(a.Record)
			s.step(AppendDone{Ref: a.Ref, Offset: offset})
		case SendOrder:
			s.sent = append(s.sent, a.Order)
		case SendPing:
			s.pings = append(s.pings, a.Runner)
		case SetRefusal:
			s.refusal = a.Failure
		case CloseTarget:
			s.closed[a.Target] = true
		case OpenTarget:
			delete(s.closed, a.Target)
		case AnswerAdapter:
			s.answers[a.Request] = a.Err
		case Stop:
			s.stopped = true
		}
	}
}

func (s *coreSim) append(r *ferrypb.PlacementRecord) uint64 {
	s.offset++
	s.fold.Apply(s.offset, &ferrypb.Envelope{Format: 1, Payload: &ferrypb.Envelope_Placement{Placement: r}})
	return s.offset
}

// read lets the core read the records to their end.
func (s *coreSim) read() {
	s.step(PlacementRead{Placement: s.fold.Snapshot(), Offset: s.fold.Offset(), CaughtUp: true})
}

// pass lets time pass in steps of 500 ms, with reports and reads.
func (s *coreSim) pass(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(500 * time.Millisecond)
		s.step(ReportRead{Report: s.report})
		s.read()
		s.step(WorkCounted{Counts: s.counts, Closed: s.closed, AllClosed: s.refusal != nil, Total: s.total()})
	}
}

func (s *coreSim) total() int {
	n := 0
	for _, c := range s.counts {
		n += c
	}
	return n
}

// order returns the only order that waits for an answer, after at most 5 s.
func (s *coreSim) order(kind engine.OrderKind) engine.Order {
	s.t.Helper()
	for range 10 {
		if len(s.sent) > 0 {
			break
		}
		s.pass(500 * time.Millisecond)
	}
	if len(s.sent) != 1 || s.sent[0].Kind != kind {
		s.t.Fatalf("orders %+v, want one %s", s.sent, kind)
	}
	return s.sent[0]
}

// apply makes the engine carry an order out, at any time and any number of times.
func (s *coreSim) apply(o engine.Order) {
	kept := s.report.Models[:0:0]
	present := false
	for _, m := range s.report.Models {
		same := m.Model == o.Model
		present = present || same
		if same && o.Kind == engine.UnloadModel {
			continue
		}
		kept = append(kept, m)
	}
	if o.Kind == engine.LoadModel && !present {
		kept = append(kept, engine.LoadedModel{Model: o.Model, Version: o.Version, Bytes: o.Bytes, OrderID: o.ID})
	}
	s.report.Models = kept
	if s.report.HonoursFencing {
		s.report.Fencing = max(s.report.Fencing, o.Fencing)
	}
}

// answer ends the only outstanding order.
func (s *coreSim) answer(err error) {
	s.t.Helper()
	o := s.sent[0]
	s.sent = s.sent[1:]
	s.step(OrderDone{ID: o.ID, Err: err})
}

// carryOut applies and answers the next order of a kind.
func (s *coreSim) carryOut(kind engine.OrderKind) engine.Order {
	s.t.Helper()
	o := s.order(kind)
	s.apply(o)
	s.answer(nil)
	s.pass(500 * time.Millisecond)
	return o
}

func (s *coreSim) copies() []placement.Copy { return s.fold.Snapshot().ByRunner("r1") }

// other appends a ready copy of the model on another runner.
func (s *coreSim) other(model string) {
	fencing := s.append(&ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_AgentStart{AgentStart: &ferrypb.AgentStart{
		Runner: "r2", Incarnation: "other", Address: "127.0.0.1:2", Region: "ege", FailureDomain: "ege-1", MemoryBytes: 10 * gib}}})
	s.append(&ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_Claim{Claim: &ferrypb.Claim{Model: model, Version: "1",
		Runner: "r2", Fencing: fencing, Bytes: gib, Kind: ferrypb.ClaimKind_CLAIM_KIND_SURPLUS, Wanted: 1, Loaded: true}}})
	s.read()
}

var errLost = failure.New(failure.ConnectionLost, failure.Unknown, "answer of the order is lost")
