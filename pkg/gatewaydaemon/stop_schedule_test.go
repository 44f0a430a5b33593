package gatewaydaemon

import (
	"testing"
	"time"
)

// Guards against requests that are cut at a planned stop before the last sixth of a short grace, and against a stop that
// serves new connections, or lets requests wait for a server, until nothing of the grace is left for them.
func TestStopScheduleFitsTheGrace(t *testing.T) {
	for _, grace := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 30 * time.Second} {
		s := newStopSchedule(grace)
		if s.finish < grace*5/6 || s.finish >= grace {
			t.Errorf("grace %v: requests may take %v, want at least five sixths and less than all of it", grace, s.finish)
		}
		if s.accept > s.finish*3/4 {
			t.Errorf("grace %v: new connections for %v, want a quarter of %v left for their requests", grace, s.accept, s.finish)
		}
		if s.start <= s.accept || s.start > (s.accept+s.finish)/2 {
			t.Errorf("grace %v: requests may wait for %v, want between %v and half of the time until %v", grace, s.start, s.accept, s.finish)
		}
	}
}
