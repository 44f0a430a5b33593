package bench

import (
	"testing"
	"time"
)

// Guards against a flood that changes the requests of the others, misses its rate, or counts as one of the others.
func TestFlood(t *testing.T) {
	plain, flooded := testLoad(5), testLoad(5)
	flooded.Flood = Flood{Member: "c", Rate: 100, From: 10 * time.Second}
	others := map[string]Arrival{}
	for _, a := range Schedule(plain) {
		others[a.ID] = a
	}
	extra := 0
	for _, a := range Schedule(flooded) {
		if want, ok := others[a.ID]; ok {
			if a != want {
				t.Fatalf("got %+v, without the flood %+v", a, want)
			}
			delete(others, a.ID)
			continue
		}
		extra++
		if a.Member.Name != "c" || a.At < 10*time.Second || a.PromptTokens == 0 {
			t.Fatalf("got %+v", a)
		}
	}
	if len(others) != 0 || extra < 2800 || extra > 3200 {
		t.Errorf("%d requests lost, %d added, want about 3000", len(others), extra)
	}
	observations := []*Observation{
		{Arrival: &Arrival{Member: Member{Name: "c"}}},
		{Arrival: &Arrival{Member: Member{Name: "a", FirstToken: time.Second}}, Whole: true},
		{Arrival: &Arrival{Member: Member{Name: "a"}, At: 6 * time.Second}},
	}
	if got := othersOf(observations, "c"); got.Requests != 2 || got.Attained != 1 {
		t.Errorf("others: %+v", got)
	}
	if got := courseOf(observations, 20*time.Second); len(got) != 2 || got[0].Requests != 2 || got[1].From != courseStep || got[1].Attained != 0 {
		t.Errorf("course: %+v", got)
	}
	for name, f := range map[string]Flood{"unknown": {Member: "z", Rate: 1}, "no member": {Rate: 1}, "negative": {Member: "a", Rate: -1}} {
		if f.check(testCatalog()) == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if err := (Flood{}).check(testCatalog()); err != nil {
		t.Error(err)
	}
}
