package availability

import (
	"slices"
	"testing"
	"time"
)

var server = Incarnation{"s", 1}

func refusal(pause time.Duration, at time.Time) Answer {
	return Answer{Pause: pause, SentAt: at.Add(-time.Millisecond), At: at}
}

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards against pauses that a later or shorter refusal shortens, that a longer one does not extend, that a response to an
// earlier request lifts, or that last without bound.
func TestPauseLastsUntilItsLatestEnd(t *testing.T) {
	table := NewTable(noSpread, (&recorder{}).notify)
	table.Record(server, refusal(2*time.Second, start))
	table.Record(server, refusal(500*time.Millisecond, at(time.Second)))
	table.Record(server, Answer{Accepted: true, SentAt: at(time.Second), At: at(1500 * time.Millisecond)})
	if left := table.PauseLeft(server, at(1500*time.Millisecond)); left != 500*time.Millisecond {
		t.Errorf("time left after a shorter refusal and a response: %v, want 500ms", left)
	}
	table.Record(server, refusal(3*time.Second, at(1500*time.Millisecond)))
	if left := table.PauseLeft(server, at(2*time.Second)); left != 2500*time.Millisecond {
		t.Errorf("time left after a longer refusal: %v, want 2.5s", left)
	}
	if table.Admit(server, at(2*time.Second)) || !table.Admit(Incarnation{"s", at(1800 * time.Millisecond).UnixMilli()}, at(2*time.Second)) {
		t.Error("a request is admitted within the pause, or not at the next incarnation")
	}
	table.Record(server, refusal(time.Hour, at(3*time.Second)))
	if left := table.PauseLeft(server, at(3*time.Second)); left != MaxPause {
		t.Errorf("time left of a pause of an hour: %v, want %v", left, MaxPause)
	}
}

// Load pattern: many requests at each of 200 daemons wait for the end of a pause. Guards against a herd: all daemons at
// the same moment, or all requests of one at once, and against a return that goes on slowly once the server responds.
func TestReturnAfterAPauseIsSpread(t *testing.T) {
	first := map[time.Duration]int{}
	for n := range 200 {
		table := NewTable(func() float64 { return float64(n) / 200 }, (&recorder{}).notify)
		table.Record(server, refusal(2*time.Second, start))
		sent := 0
		for now := start; now.Before(at(2900 * time.Millisecond)); now = now.Add(10 * time.Millisecond) {
			for range 20 {
				if !table.Admit(server, now) {
					continue
				}
				if sent++; sent == 1 {
					first[now.Sub(start).Truncate(100*time.Millisecond)]++
				}
			}
		}
		if sent < 1 || sent > 10 {
			t.Errorf("daemon %d sent %d of 20 waiting requests within 0.9 s of the end, want some and one per %v at most", n, sent, returnInterval)
		}
		table.Record(server, Answer{Accepted: true, SentAt: at(2900 * time.Millisecond), At: at(2910 * time.Millisecond)})
		for range 2 {
			if !table.Admit(server, at(2911*time.Millisecond)) {
				t.Errorf("daemon %d holds requests back although the server takes them again", n)
			}
		}
	}
	for when, n := range first {
		if when < 2*time.Second || n > 70 {
			t.Errorf("%d of 200 daemons returned %v after a refusal with a pause of 2s, want at most 70 within 100 ms and none in the pause", n, when)
		}
	}
	if len(first) < 3 {
		t.Errorf("the return of 200 daemons is spread over %d tenths of a second, want 3 or more: %v", len(first), first)
	}
}

// Guards against changes that are not told, and against one for each refusal of a crowd.
func TestChangesOfAPauseAreTold(t *testing.T) {
	changes := &recorder{}
	table := NewTable(noSpread, changes.notify)
	for n := range 20 {
		table.Record(server, refusal(time.Second, at(time.Duration(n)*time.Millisecond)))
	}
	table.Record(server, refusal(2*time.Second, at(100*time.Millisecond)))
	table.Retain(map[string]int64{"s": 1}, at(2500*time.Millisecond))
	if _, paused := table.Count(at(2 * time.Second)); paused != 1 {
		t.Errorf("servers that pause: %d, want 1", paused)
	}
	table.Retain(map[string]int64{"s": 1}, at(4*time.Second))
	table.Record(server, refusal(time.Second, at(5*time.Second)))
	table.Retain(map[string]int64{"s": at(6 * time.Second).UnixMilli()}, at(6*time.Second))
	want := []ChangeKind{PauseBegan, PauseExtended, PauseEnded, PauseBegan, PauseEnded}
	if !slices.Equal(changes.kinds, want) {
		t.Errorf("changes %v, want %v", changes.kinds, want)
	}
}
