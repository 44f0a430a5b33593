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

// reporter is the part of testing.T that the simulation uses; rapid.T implements it too.
type reporter interface {
	Helper()
	Fatal(args ...any)
	Fatalf(format string, args ...any)
}

// coreSim runs a core with a virtual clock, a placement log in memory, and an engine whose responses the test gives.
type coreSim struct {
	t      reporter
	now    time.Time
	fold   *placement.Fold
	offset uint64
	config *object.Set
	report engine.LoadReport
	core   *Core
	// unanswered are the orders that wait for a response.
	unanswered     []engine.Order
	refusal        *failure.Failure
	closedTargets  map[string]bool
	adapterAnswers map[string]*failure.Failure
	pings          []string
	appends        []*ferrypb.PlacementRecord
	stopped        bool
	// logDown is set while no append gets a response.
	logDown       bool
	requestCounts map[string]int
}

func newCoreSim(t reporter, id Identity, objects ...*ferrypb.Object) *coreSim {
	t.Helper()
	set, problems := object.NewSet(1, objects)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	s := &coreSim{t: t, now: time.Unix(1000, 0), fold: placement.NewFold(), config: set,
		report:         engine.LoadReport{Instance: "e1", HonoursFencing: id.HonoursFencing, MaxRunning: 4},
		closedTargets:  map[string]bool{},
		adapterAnswers: map[string]*failure.Failure{}, requestCounts: map[string]int{}}
	s.restart(id)
	return s
}

func simIdentity(incarnation string, fencing bool) Identity {
	return Identity{Runner: "r1", Incarnation: incarnation, Address: "127.0.0.1:1", Region: "ege", FailureDomain: "ege-1",
		MemoryBytes: 10 * gib, Accelerators: 1, AdapterSlots: 2, HonoursFencing: fencing}
}

func simLimits() Limits {
	return Limits{StoreConcurrency: 3, AdapterInFlight: 24, WatchInterval: time.Second, SilenceTimeout: 15 * time.Second,
		ResendAfter: 15 * time.Second, RetryAfter: time.Second, LostAfter: 2 * time.Second}
}

func simModel(name, bytes string) *ferrypb.Object {
	return published("model", name, "version", "1", "bytes", bytes, "min_copies", "1")
}

// restart replaces the core by a new one, as a restart of the process does.
func (s *coreSim) restart(id Identity) {
	s.core = NewCore(id, simLimits(), placement.Plan)
	s.unanswered = nil
	s.step(ConfigRead{Config: s.config, CaughtUp: true})
	s.readPlacement()
}

// step passes one event to the core and carries out the actions. Appended records are stored at once, but the core sees
// them only after readPlacement.
func (s *coreSim) step(e Event) {
	s.t.Helper()
	for _, a := range s.core.Step(s.now, e) {
		switch a := a.(type) {
		case AppendRecord:
			if s.logDown {
				continue
			}
			s.appends = append(s.appends, a.Record)
			offset := s.append(a.Record)
			s.step(AppendDone{Ref: a.Ref, Offset: offset})
		case SendOrder:
			s.unanswered = append(s.unanswered, a.Order)
		case SendPing:
			s.pings = append(s.pings, a.Runner)
		case SetRefusal:
			s.refusal = a.Failure
		case CloseTarget:
			s.closedTargets[a.Target] = true
		case OpenTarget:
			delete(s.closedTargets, a.Target)
		case ResolveAdapter:
			s.adapterAnswers[a.Request] = a.Err
		case Drained:
			s.stopped = true
		}
	}
}

func (s *coreSim) append(r *ferrypb.PlacementRecord) uint64 {
	s.offset++
	s.fold.Apply(s.offset, &ferrypb.Envelope{Format: 1, Payload: &ferrypb.Envelope_Placement{Placement: r}})
	return s.offset
}

// readPlacement passes the current state of the placement log to the core.
func (s *coreSim) readPlacement() {
	s.step(PlacementRead{Placement: s.fold.Snapshot(), Offset: s.fold.Offset(), CaughtUp: true})
}

// advance moves the clock forward in steps of 500 ms, each with an engine report, a read of the placement log and a
// count of requests.
func (s *coreSim) advance(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(500 * time.Millisecond)
		s.step(ReportRead{Report: s.report})
		s.readPlacement()
		s.step(RequestsCounted{Counts: s.requestCounts, Closed: s.closedTargets, AllClosed: s.refusal != nil, Total: s.totalRequests()})
	}
}

func (s *coreSim) totalRequests() int {
	n := 0
	for _, c := range s.requestCounts {
		n += c
	}
	return n
}

// waitOrder advances the clock by at most 5 s until an order is unanswered. It fails the test unless exactly one order
// of the given kind is.
func (s *coreSim) waitOrder(kind engine.OrderKind) engine.Order {
	s.t.Helper()
	for range 10 {
		if len(s.unanswered) > 0 {
			break
		}
		s.advance(500 * time.Millisecond)
	}
	if len(s.unanswered) != 1 || s.unanswered[0].Kind != kind {
		s.t.Fatalf("unanswered orders %+v, want one of kind %s", s.unanswered, kind)
	}
	return s.unanswered[0]
}

// apply makes the engine carry out an order. It may be called at any time and more than once per order.
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

// answerOrder responds to the oldest unanswered order.
func (s *coreSim) answerOrder(err error) {
	s.t.Helper()
	o := s.unanswered[0]
	s.unanswered = s.unanswered[1:]
	s.step(OrderDone{ID: o.ID, Err: err})
}

// completeOrder waits for an order of the given kind, applies it and responds to it.
func (s *coreSim) completeOrder(kind engine.OrderKind) engine.Order {
	s.t.Helper()
	o := s.waitOrder(kind)
	s.apply(o)
	s.answerOrder(nil)
	s.advance(500 * time.Millisecond)
	return o
}

func (s *coreSim) copies() []placement.Copy { return s.fold.Snapshot().ByRunner("r1") }

// addReadyCopyElsewhere appends a ready copy of the model on another runner.
func (s *coreSim) addReadyCopyElsewhere(model string) {
	fencing := s.append(&ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_AgentStart{AgentStart: &ferrypb.AgentStart{
		Runner: "r2", Incarnation: "other", Address: "127.0.0.1:2", Region: "ege", FailureDomain: "ege-1", MemoryBytes: 10 * gib}}})
	s.append(&ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_Claim{Claim: &ferrypb.Claim{Model: model, Version: "1",
		Runner: "r2", Fencing: fencing, Bytes: gib, Kind: ferrypb.ClaimKind_CLAIM_KIND_SURPLUS, Wanted: 1, Loaded: true}}})
	s.readPlacement()
}

var errNoResponse = failure.New(failure.ConnectionLost, failure.Unknown, "answer of the order is lost")
