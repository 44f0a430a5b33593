package availability

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// recorder collects the changes of a table.
type recorder struct{ kinds []ChangeKind }

func (r *recorder) notify(c Change) { r.kinds = append(r.kinds, c.Kind) }

// Guards against a mark that outlives its incarnation, that a later response without it lifts, or that a late response
// of an earlier incarnation sets for its successor.
func TestLeavingLastsAsLongAsTheIncarnation(t *testing.T) {
	changes := &recorder{}
	table := NewTable(changes.notify)
	first, second := Incarnation{"s", 1}, Incarnation{"s", 2}
	table.Record(first, Answer{Leaving: true, SentAt: start, At: start})
	table.Record(first, Answer{SentAt: start.Add(-time.Second), At: start.Add(time.Second)})
	if !table.Leaving(first) || table.Admit(first, start) {
		t.Error("a response without the mark lifted it")
	}
	table.Record(first, Answer{Leaving: true, SentAt: start, At: start.Add(2 * time.Second)})
	if table.Leaving(second) || !table.Admit(second, start) {
		t.Error("the next incarnation is leaving, want a clean one")
	}
	table.Retain(map[string]int64{"s": 1}, start.Add(time.Hour))
	table.Retain(map[string]int64{}, start.Add(time.Minute))
	if !table.Leaving(first) {
		t.Error("the mark ended while its incarnation was listed, or when its entry had just expired")
	}
	table.Retain(map[string]int64{"s": 2}, start.Add(time.Minute))
	table.Record(first, Answer{Leaving: true, SentAt: start, At: start.Add(time.Minute)})
	if table.Leaving(second) {
		t.Error("a late response of the incarnation before marked its successor")
	}
	table.Retain(map[string]int64{}, start.Add(time.Minute+unlistedTime))
	if n := table.CountLeaving(); n != 0 {
		t.Errorf("records after their servers are gone: %d, want none", n)
	}
	if got := changes.kinds; len(got) != 4 || got[0] != LeavingBegan || got[1] != LeavingEnded {
		t.Errorf("changes %v, want began and ended, for each of the two times that the mark was set", got)
	}
}

// Guards against a list that is older than the record: it names the incarnation before.
func TestOlderListDoesNotEndARecord(t *testing.T) {
	table := NewTable((&recorder{}).notify)
	table.Record(Incarnation{"s", 2}, Answer{Leaving: true, SentAt: start, At: start})
	table.Retain(map[string]int64{"s": 1}, start)
	if !table.Leaving(Incarnation{"s", 2}) {
		t.Error("a list with an earlier incarnation ended the record")
	}
}
