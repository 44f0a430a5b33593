package agent

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/engine"
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
