package bench

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/engine"
)

func testCatalog() Catalog {
	c := Catalog{Service: "booking"}
	for _, name := range []string{"a", "b", "c", "d"} {
		c.Models = append(c.Models, Member{Name: name, Model: name, FirstToken: 620 * time.Millisecond, BetweenTokens: 51 * time.Millisecond})
		c.Adapters = append(c.Adapters, Member{Name: name + "-x", Model: name, Adapter: name + "-x"})
	}
	return c
}

func testLoad(seed uint64) Load {
	return Load{Seed: seed, Rate: 50, Duration: 40 * time.Second, Mix: DirectorateMix(), Catalog: testCatalog()}
}

// Guards against arrivals that differ between runs with the same seed, or that do not depend on the seed.
func TestScheduleFollowsSeed(t *testing.T) {
	first := Schedule(testLoad(7))
	if !reflect.DeepEqual(first, Schedule(testLoad(7))) {
		t.Fatal("equal seeds give different arrivals")
	}
	if reflect.DeepEqual(first, Schedule(testLoad(8))) {
		t.Fatal("different seeds give equal arrivals")
	}
}

// Guards against arrivals out of time order, with a duplicate request ID, or with a rate or mix other than the configured
// one, and against a load without repeated service calls.
func TestScheduleShape(t *testing.T) {
	load := testLoad(3)
	ids, keys, classes := map[string]bool{}, map[string]int{}, map[Class]float64{}
	last := time.Duration(0)
	firsts := 0.0
	for _, a := range Schedule(load) {
		if a.At < last || ids[a.ID] {
			t.Fatalf("arrival %s at %v: out of time order (previous at %v) or duplicate ID (%v)", a.ID, a.At, last, ids[a.ID])
		}
		last, ids[a.ID] = a.At, true
		if strings.HasSuffix(a.ID, "-again") {
			keys[a.Key] += 10
			continue
		}
		firsts++
		classes[a.Class]++
		keys[a.Key]++
	}
	want := load.Rate * load.Duration.Seconds()
	if math.Abs(firsts-want) > 5*math.Sqrt(want) {
		t.Fatalf("arrivals without repeated calls: %v, want %v +/- %v", firsts, want, 5*math.Sqrt(want))
	}
	for class, share := range load.Mix.Shares {
		if math.Abs(classes[class]/firsts-share) > 0.05 {
			t.Errorf("share of class %s: %v, want %v +/- 0.05", class, classes[class]/firsts, share)
		}
	}
	again := 0
	for key, n := range keys {
		if key != "" && n == 11 {
			again++
		}
	}
	if again == 0 {
		t.Error("repeated service calls: 0, want at least 1")
	}
}

// Guards against a popularity that stays constant during a run.
func TestPopularityChangesOverTime(t *testing.T) {
	load := testLoad(1)
	p := newScheduler(load).models
	for member := range load.Catalog.Models {
		least, most := math.Inf(1), 0.0
		for at := time.Duration(0); at < load.Duration; at += time.Second {
			w := p.Weight(member, at)
			least, most = min(least, w), max(most, w)
		}
		if most/least < burstFactor {
			t.Errorf("member %d: ratio of largest to smallest weight %v, want at least %v", member, most/least, burstFactor)
		}
	}
}

// Guards against prompts about the same dossier that do not share its text or do not differ after it, and against
// different dossiers with the same text.
func TestPromptSharesDossier(t *testing.T) {
	a := &Arrival{Class: Dossier, Member: Member{Name: "a"}, Dossier: 1, PromptTokens: 5000, Nonce: 1}
	b := &Arrival{Class: Dossier, Member: Member{Name: "a"}, Dossier: 1, PromptTokens: 5000, Nonce: 2}
	x, y := Prompt(a), Prompt(b)
	shared := (5000 - questionTokens) * engine.BytesPerToken
	if engine.PromptTokens(x) != 5000 || x[:shared] != y[:shared] || x[shared:] == y[shared:] {
		t.Fatalf("two prompts about one dossier: %d tokens, want 5000; equal up to byte %d: %v, want true; equal after it: %v, want false",
			engine.PromptTokens(x), shared, x[:shared] == y[:shared], x[shared:] == y[shared:])
	}
	b.Dossier = 2
	if Prompt(b)[:100] == x[:100] {
		t.Fatal("prompts about two dossiers begin with the same 100 bytes, want different text")
	}
}
