package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// Load pattern: runners crash on requests of other daemons, which this daemon does not see, and the lease holder is lost
// meanwhile. Guards against shared parts that a daemon bars by the little that it saw itself, and against runners that go
// on crashing while there is no holder.
func TestDaemonWithoutHolderBarsOnlyNewParts(t *testing.T) {
	b := NewBoard()
	b.Replace(nil, at(0))
	b.AddSound([]string{"shared"}, at(0))
	for n := range 4 {
		when := time.Duration(n) * 200 * time.Millisecond
		b.AddCrash(crash(n, when, []string{"shared", fmt.Sprint("session", n%2)}, []string{"shared", "deadly"}))
		b.Replace(nil, at(when+settleTime))
		if added := b.Step(at(when + settleTime)); len(added) > 0 {
			t.Fatalf("decided while the holder responds: %v", added)
		}
	}
	lost := at(3 * holderViewTime)
	b.Step(lost)
	if b.Match([]string{"shared", "deadly"}, lost) == nil {
		t.Error("the part that was at all four crashes is not barred without a holder")
	}
	for _, parts := range [][]string{{"shared"}, {"shared", "session0"}, {"shared", "session1"}} {
		if e := b.Match(parts, lost); e != nil {
			t.Errorf("request with %v is barred by %v, want only the part that was at all crashes", parts, e.Parts)
		}
	}
	back := lost.Add(time.Second)
	b.Replace(nil, back)
	if b.Match([]string{"deadly"}, back.Add(2*holderViewTime)) != nil {
		t.Error("an own entry outlives the list of a holder that does not have it")
	}
}

// Guards against requests that stay at runners after their part was barred, and against calls after an attempt has ended.
func TestBarredRequestsAreWithdrawn(t *testing.T) {
	b := NewBoard()
	withdrawn := map[string]int{}
	for _, part := range []string{"deadly", "sound", "ended"} {
		stop := b.Watch([]string{"shared", part}, func() { withdrawn[part]++ })
		if part == "ended" {
			stop()
		}
	}
	entries := []Entry{{Parts: []string{"deadly"}, Until: at(time.Minute)}, {Parts: []string{"ended"}, Until: at(time.Minute)}}
	for range 2 {
		b.Replace(entries, at(0))
	}
	if withdrawn["deadly"] != 1 || withdrawn["sound"] != 0 || withdrawn["ended"] != 0 {
		t.Errorf("attempts withdrawn: %v, want the deadly one once", withdrawn)
	}
}
