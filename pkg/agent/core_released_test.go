package agent

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/object"
	"trefoilferry.example/ferry/pkg/placement"
)

// Guards against memory that stays reserved for ever for a copy that the predecessor released and unloaded, because the
// predecessor exited before the log showed the copy as freed.
func TestSuccessorFreesCopyThatItsPredecessorUnloaded(t *testing.T) {
	for _, fencing := range []bool{false, true} {
		s := readySim(t, fencing)
		s.config, _ = object.NewSet(2, nil)
		s.step(ConfigRead{Config: s.config, CaughtUp: true})
		s.apply(s.waitOrder(engine.UnloadModel))
		if got := s.copies(); len(got) != 1 || got[0].State != placement.Released {
			t.Fatalf("copies %+v before the successor starts, want one released", got)
		}
		s.restart(simIdentity("i2", fencing))
		s.advance(time.Second)
		if fencing {
			s.completeOrder(engine.Fence)
		}
		s.completeOrder(engine.UnloadModel)
		s.advance(time.Second)
		if got := s.copies(); len(got) != 0 || s.core.committedBytes() != 0 {
			t.Errorf("engine honours fencing: %v: copies %+v, reserved bytes %d, want none", fencing, got, s.core.committedBytes())
		}
	}
}
