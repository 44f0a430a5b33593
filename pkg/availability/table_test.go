package availability

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func noSpread() float64 { return 0 }

// recorder collects the changes of a table.
type recorder struct{ kinds []ChangeKind }

func (r *recorder) notify(c Change) { r.kinds = append(r.kinds, c.Kind) }

// Guards against a mark that outlives its incarnation, that a later response without it lifts, or that a late response
// of an earlier incarnation sets for its successor.
func TestLeavingLastsAsLongAsTheIncarnation(t *testing.T) {
	changes := &recorder{}
	table := NewTable(noSpread, changes.notify)
	first, second := Incarnation{"s", start.Add(-time.Minute).UnixMilli()}, Incarnation{"s", start.Add(30 * time.Second).UnixMilli()}
	table.Record(first, Answer{Leaving: true, SentAt: start, At: start})
	table.Record(first, Answer{SentAt: start.Add(-time.Second), At: start.Add(time.Second)})
	if !table.Leaving(first) || table.Admit(first, start) {
		t.Error("a response without the mark lifted it")
	}
	table.Record(first, Answer{Leaving: true, SentAt: start, At: start.Add(2 * time.Second)})
	if table.Leaving(second) || !table.Admit(second, start) {
		t.Error("the next incarnation is leaving, want a clean one")
	}
	table.Retain(map[string]int64{"s": first.StartMillis}, start.Add(time.Hour))
	table.Retain(map[string]int64{}, start.Add(time.Minute))
	if !table.Leaving(first) {
		t.Error("the mark ended while its incarnation was listed, or when its entry had just expired")
	}
	table.Retain(map[string]int64{"s": second.StartMillis}, start.Add(time.Minute))
	table.Record(first, Answer{Leaving: true, SentAt: start, At: start.Add(time.Minute)})
	if table.Leaving(second) {
		t.Error("a late response of the incarnation before marked its successor")
	}
	table.Retain(map[string]int64{}, start.Add(time.Minute+unlistedTime))
	if n, _ := table.Count(start); n != 0 {
		t.Errorf("records after their servers are gone: %d, want none", n)
	}
	if got := changes.kinds; len(got) != 4 || got[0] != LeavingBegan || got[1] != LeavingEnded {
		t.Errorf("changes %v, want began and ended, for each of the two times that the mark was set", got)
	}
}

// Guards against a list that is older than the record: it names the incarnation before.
func TestOlderListDoesNotEndARecord(t *testing.T) {
	table := NewTable(noSpread, (&recorder{}).notify)
	table.Record(Incarnation{"s", 2}, Answer{Leaving: true, SentAt: start, At: start})
	table.Retain(map[string]int64{"s": 1}, start)
	if !table.Leaving(Incarnation{"s", 2}) {
		t.Error("a list with an earlier incarnation ended the record")
	}
}

// Load pattern: a server starts again under its id while the store is away, and pauses and leaves. Guards against requests
// there once the list shows the new start: 8 and 12 of them reached one within a pause that had been recorded for the start
// before. What the earlier start had said does not bind the new one.
func TestWordsOfAStartThatWasNotListedYet(t *testing.T) {
	at := start.Add
	first, second := Incarnation{"s", at(-time.Hour).UnixMilli()}, Incarnation{"s", start.UnixMilli()}
	for _, c := range []struct {
		name           string
		answer         Answer
		paused, leaves bool
	}{
		{"pause before the new start", Answer{Pause: 5 * time.Second, SentAt: at(-2 * time.Second), At: at(-time.Second)}, false, false},
		{"pause of the new start", Answer{Pause: 5 * time.Second, SentAt: at(time.Second), At: at(time.Second)}, true, false},
		{"mark before the new start", Answer{Leaving: true, SentAt: at(-time.Second), At: at(2 * time.Second)}, false, false},
		{"mark at the new start, within what clocks differ", Answer{Leaving: true, SentAt: at(500 * time.Millisecond), At: at(2 * time.Second)}, false, false},
		{"mark of the new start", Answer{Leaving: true, SentAt: at(1500 * time.Millisecond), At: at(2 * time.Second)}, false, true},
		{"both", Answer{Leaving: true, Pause: 5 * time.Second, SentAt: at(1500 * time.Millisecond), At: at(2 * time.Second)}, true, true},
	} {
		for _, retained := range []bool{false, true} {
			table := NewTable(noSpread, (&recorder{}).notify)
			table.Record(first, c.answer)
			if retained {
				table.Retain(map[string]int64{"s": second.StartMillis}, at(2*time.Second))
			}
			if left := table.PauseLeft(second, at(3*time.Second)); (left > 0) != c.paused {
				t.Errorf("%s (retained %v): pause left %v, want one: %v", c.name, retained, left, c.paused)
			}
			if table.Leaving(second) != c.leaves || table.Admit(second, at(3*time.Second)) != (!c.paused && !c.leaves) {
				t.Errorf("%s (retained %v): leaving %v, want %v", c.name, retained, table.Leaving(second), c.leaves)
			}
		}
	}
}
