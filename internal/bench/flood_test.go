package bench

import (
	"testing"
	"time"
)

// Guards against a flood that changes the other requests of the load or misses its rate, whose requests count in the
// attainment of the other members, or that is accepted with invalid settings.
func TestFlood(t *testing.T) {
	plain, flooded := testLoad(5), testLoad(5)
	flooded.Flood = Flood{Member: "c", Rate: 100, Start: 10 * time.Second}
	others := map[string]Arrival{}
	for _, a := range Schedule(plain) {
		others[a.ID] = a
	}
	extra := 0
	for _, a := range Schedule(flooded) {
		if want, ok := others[a.ID]; ok {
			if a != want {
				t.Fatalf("arrival %s with the flood: %+v, want it as without: %+v", a.ID, a, want)
			}
			delete(others, a.ID)
			continue
		}
		extra++
		if a.Member.Name != "c" || a.At < 10*time.Second || a.PromptTokens == 0 {
			t.Fatalf("flood arrival %+v, want member c, a time from 10s on and a prompt", a)
		}
	}
	if len(others) != 0 || extra < 2800 || extra > 3200 {
		t.Errorf("with the flood: %d requests missing, want 0; %d added, want 2800 to 3200", len(others), extra)
	}
	observations := []*Observation{
		{Arrival: &Arrival{Member: Member{Name: "c"}}},
		{Arrival: &Arrival{Member: Member{Name: "a", FirstToken: time.Second}}, Complete: true},
		{Arrival: &Arrival{Member: Member{Name: "a"}, At: 6 * time.Second}},
	}
	if got := otherMembersShare(observations, "c"); got.Requests != 2 || got.Attained != 1 {
		t.Errorf("share of the members other than c: %+v, want 2 requests, 1 attained", got)
	}
	if got := attainmentOverTime(observations, 20*time.Second); len(got) != 2 || got[0].Requests != 2 || got[1].Start != attainmentInterval || got[1].Attained != 0 {
		t.Errorf("attainment over time: %+v, want 2 intervals, with 2 requests in the first and none attained in the second", got)
	}
	for name, f := range map[string]Flood{"unknown": {Member: "z", Rate: 1}, "no member": {Rate: 1}, "negative": {Member: "a", Rate: -1}} {
		if f.check(testCatalog()) == nil {
			t.Errorf("%s: flood %+v was accepted, want an error", name, f)
		}
	}
	if err := (Flood{}).check(testCatalog()); err != nil {
		t.Errorf("check of no flood: %v, want no error", err)
	}
}
