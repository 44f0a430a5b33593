package agent

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/object"
)

// twoVersionsSim returns a simulation whose engine has loaded version 9 and then version 10 of model m, while the log is
// out, so that version 9 is not released. The engine reports the versions in the order of their names.
func twoVersionsSim(t *testing.T, objects ...*ferrypb.Object) *coreSim {
	t.Helper()
	version := func(v string) *ferrypb.Object {
		return published("model", "m", "version", v, "bytes", "3GiB", "min_copies", "1")
	}
	s := newCoreSim(t, simIdentity("i1", true), append(objects, version("9"))...)
	s.completeOrder(engine.Fence)
	s.completeOrder(engine.LoadModel)
	s.advance(3 * time.Second)
	s.config, _ = object.NewSet(2, append(objects, version("10")))
	s.step(ConfigRead{Config: s.config, CaughtUp: true})
	load := s.waitOrder(engine.LoadModel)
	s.logDown = true
	s.report.Models = append([]engine.LoadedModel{{Model: "m", Version: load.Version, Bytes: load.Bytes, OrderID: load.ID}}, s.report.Models...)
	s.answerOrder(nil)
	s.advance(3 * time.Second)
	return s
}

// Guards against an agent that serves the old version by name while the engine serves the new one, because the report
// lists the old one last.
func TestVersionThatWasClaimedLastIsServed(t *testing.T) {
	s := twoVersionsSim(t)
	if len(s.report.Models) != 2 || s.core.view.Models["m"].Version != "10" {
		t.Errorf("served models %v of the loaded ones %v, want version 10", s.core.view.Models, s.report.Models)
	}
}

// Guards against an adapter that counts as resident because the old version of its model still holds it, although the
// engine serves the new one, and against adapters of the old version whose slots are used for others.
func TestAdapterOfReplacedVersionIsLoadedAgain(t *testing.T) {
	s := twoVersionsSim(t,
		published("adapter", "a1", "model", "m", "bytes", "1GiB"),
		published("adapter", "a2", "model", "m", "bytes", "1GiB"))
	s.report.Models[1].Adapters = []string{"a1"}
	s.advance(time.Second)
	s.requestAdapter("q1", "a1")
	load := s.waitOrder(engine.LoadAdapter)
	if load.Adapter != "a1" || s.adapterGranted("q1") {
		t.Fatalf("order %+v, request granted %v, want the load of a1 and no grant", load, s.adapterGranted("q1"))
	}
	s.answerOrder(nil)
	if !s.adapterGranted("q1") {
		t.Error("request for a1 was not granted after the load")
	}
	s.requestAdapter("q2", "a2")
	s.advance(time.Second)
	if len(s.unanswered) != 0 {
		t.Errorf("orders %+v while a1 at both versions holds the two slots, want none", s.unanswered)
	}
}

// Guards against a request that waits for a slot until the end of a log outage, because the adapters of a version that
// cannot be unloaded hold all of them.
func TestSlotsHeldByReplacedVersionAreNotWaitedFor(t *testing.T) {
	s := twoVersionsSim(t,
		published("adapter", "a1", "model", "m", "bytes", "1GiB"),
		published("adapter", "a2", "model", "m", "bytes", "1GiB"),
		published("adapter", "a3", "model", "m", "bytes", "1GiB"))
	s.report.Models[1].Adapters = []string{"a1", "a2"}
	s.advance(time.Second)
	s.requestAdapter("q", "a3")
	if f := s.adapterAnswers["q"]; f == nil || f.Code != failure.NotLoaded || f.Outcome != failure.NotRun {
		t.Errorf("answer %v, want code not_loaded as not_run", f)
	}
}

// Guards against an adapter that no runner has loaded after a new version of its model has replaced the old one. If the
// log goes out and all agents restart before the next request, none of them can load it.
func TestAdaptersOfNewVersionAreLoadedAheadOfRequests(t *testing.T) {
	s := twoVersionsSim(t,
		published("adapter", "a1", "model", "m", "bytes", "1GiB"),
		published("adapter", "a2", "model", "m", "bytes", "1GiB"))
	if load := s.waitOrder(engine.LoadAdapter); load.Adapter != "a1" {
		t.Fatalf("order %+v, want the load of a1", load)
	}
	s.answerOrder(nil)
	s.advance(time.Second)
	if len(s.unanswered) != 0 {
		t.Errorf("orders %+v without a request while half of the slots are in use, want none", s.unanswered)
	}
	s.requestAdapter("q", "a2")
	if load := s.waitOrder(engine.LoadAdapter); load.Adapter != "a2" {
		t.Errorf("order %+v, want the load of a2, which a request asks for", load)
	}
}
