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

// Guards against loads that cannot be repeated, and against seeds that do not change the load.
func TestScheduleFollowsSeed(t *testing.T) {
	first := Schedule(testLoad(7))
	if !reflect.DeepEqual(first, Schedule(testLoad(7))) {
		t.Fatal("equal seeds give different arrivals")
	}
	if reflect.DeepEqual(first, Schedule(testLoad(8))) {
		t.Fatal("different seeds give equal arrivals")
	}
}

// Guards against arrivals that are out of order, off the rate, off the mix, or that share a request id.
func TestScheduleShape(t *testing.T) {
	load := testLoad(3)
	ids, keys, classes := map[string]bool{}, map[string]int{}, map[Class]float64{}
	last := time.Duration(0)
	firsts := 0.0
	for _, a := range Schedule(load) {
		if a.At < last || ids[a.ID] {
			t.Fatalf("arrival %s at %v is out of order or repeated", a.ID, a.At)
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
		t.Fatalf("got %v arrivals, want about %v", firsts, want)
	}
	for class, share := range load.Mix.Shares {
		if math.Abs(classes[class]/firsts-share) > 0.05 {
			t.Errorf("%s has share %v, want about %v", class, classes[class]/firsts, share)
		}
	}
	again := 0
	for key, n := range keys {
		if key != "" && n == 11 {
			again++
		}
	}
	if again == 0 {
		t.Error("no keyed call is repeated")
	}
}

// Guards against demand that stays with the same members for the whole run.
func TestPopularityMoves(t *testing.T) {
	load := testLoad(1)
	p := newScheduler(load).models
	for member := range load.Catalog.Models {
		least, most := math.Inf(1), 0.0
		for at := time.Duration(0); at < load.Duration; at += time.Second {
			w := p.Weight(member, at)
			least, most = min(least, w), max(most, w)
		}
		if most/least < burstFactor {
			t.Errorf("member %d changes by %v only", member, most/least)
		}
	}
}

// Guards against dossiers whose prefix differs between requests, or whose questions do not.
func TestPromptSharesDossier(t *testing.T) {
	a := &Arrival{Class: Dossier, Member: Member{Name: "a"}, Dossier: 1, PromptTokens: 5000, Nonce: 1}
	b := &Arrival{Class: Dossier, Member: Member{Name: "a"}, Dossier: 1, PromptTokens: 5000, Nonce: 2}
	x, y := Prompt(a), Prompt(b)
	shared := (5000 - questionTokens) * engine.BytesPerToken
	if engine.PromptTokens(x) != 5000 || x[:shared] != y[:shared] || x[shared:] == y[shared:] {
		t.Fatal("two questions about one dossier must share its text and nothing else")
	}
	b.Dossier = 2
	if Prompt(b)[:100] == x[:100] {
		t.Fatal("two dossiers share their text")
	}
}
