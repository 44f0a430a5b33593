package quarantine

import (
	"slices"
	"testing"
	"time"
)

func provisionalParts(j *Judge, now time.Time) []string {
	var out []string
	for _, e := range j.Entries(now) {
		if e.Provisional {
			out = append(out, e.key())
		}
	}
	return out
}

// Load pattern: half of the requests of a class crash their runners, dozens a second. Guards against a small fleet that is
// gone before a second crash confirms the first, and against parts in use that are held off with the new one.
func TestNewPartIsHeldOffAfterItsFirstCrash(t *testing.T) {
	j := NewJudge()
	j.Evidence.AddSound("shared", at(-time.Second))
	addCrash(j, crash(1, 0, []string{"shared", "deadly"}))
	addCrash(j, waiting(crash(2, 0, []string{"shared", "queued"})))
	j.Step(at(0))
	if got := provisionalParts(j, at(0)); !slices.Equal(got, []string{"deadly"}) {
		t.Errorf("held off after the first crash: %v, want the new part whose response had begun", got)
	}
	if got := provisionalParts(j, at(provisionalTime)); len(got) > 0 {
		t.Errorf("held off %v later: %v, want nothing", provisionalTime, got)
	}
	j.Evidence.AddSound("deadly", at(provisionalTime/2))
	if got := provisionalParts(j, at(provisionalTime/2)); len(got) > 0 {
		t.Errorf("held off after a runner survived the part: %v, want nothing", got)
	}
}

// Guards against requests in progress that are withdrawn because of one crash, and against a daemon that waits for the
// lease holder to hold off a part that it saw crash a runner itself.
func TestRequestsInProgressGoOnWhileAPartIsHeldOff(t *testing.T) {
	b := NewBoard()
	b.Replace(nil, at(0))
	withdrawn := false
	defer b.Watch([]string{"deadly"}, func() { withdrawn = true })()
	b.AddCrash(crash(1, 0, []string{"deadly"}))
	if e := b.Match([]string{"deadly"}, at(0)); e == nil || !e.Provisional {
		t.Errorf("entry at the daemon that saw the crash: %v, want a provisional one", e)
	}
	b.Replace(b.Entries(at(0)), at(0))
	if withdrawn {
		t.Error("a request in progress was withdrawn because of one crash")
	}
	if got := b.Entries(at(0)); len(got) > 0 {
		t.Errorf("entries that a new lease holder would keep: %v, want none", got)
	}
}

// Load pattern: two crashes within 50 ms, with a new part at both, among crashes of a lost failure domain. Guards against
// a decision that waits for a third crash, and against sessions that are barred because two of their requests were lost
// with the domain.
func TestPartAtMostCrashesStandsOut(t *testing.T) {
	few := NewJudge()
	for n, when := range []time.Duration{0, 46 * time.Millisecond} {
		addCrash(few, crash(n, when, []string{"deadly"}))
	}
	few.Step(at(time.Second))
	if got := barredParts(few); !slices.Equal(got, []string{"deadly"}) {
		t.Errorf("barred after two crashes 46 ms apart: %v, want the part at both", got)
	}
	lost := NewJudge()
	for n := range 20 {
		parts := []string{"any"}
		if n == 3 || n == 17 {
			parts = []string{"session"}
		}
		c := crash(n, time.Duration(n)*4*time.Millisecond, parts)
		if parts[0] == "any" {
			waiting(c)
		}
		addCrash(lost, c)
	}
	lost.Step(at(settleTime / 2))
	if got := barredParts(lost); len(got) > 0 {
		t.Errorf("barred after 20 runners were lost at once: %v, want nothing", got)
	}
}
