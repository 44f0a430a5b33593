package gateway

import (
	"slices"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/routing"
)

// requestShares are the shares of late requests by kind, and of all requests that went to another region.
type requestShares struct{ lateDossiers, lateQuestions, crossRegion float64 }

// runLoad simulates a load with several seeds and the given scorers.
func runLoad(load simLoad, scorers []routing.Scorer) requestShares {
	var sum simResult
	for seed := range uint64(simSeeds) {
		s := newSimulation(load, seed)
		for _, g := range s.gateways {
			g.chooser.models.Scorers = scorers
		}
		r := s.run()
		sum.dossiers += r.dossiers
		sum.questions += r.questions
		sum.lateDossiers += r.lateDossiers
		sum.lateQuestions += r.lateQuestions
		sum.crossRegion += r.crossRegion
	}
	return requestShares{
		lateDossiers:  float64(sum.lateDossiers) / float64(sum.dossiers),
		lateQuestions: float64(sum.lateQuestions) / float64(sum.questions),
		crossRegion:   float64(sum.crossRegion) / float64(sum.dossiers+sum.questions),
	}
}

// withoutScorer returns the scorers except those of type S, and fails the test if there is none.
func withoutScorer[S routing.Scorer](t *testing.T, all []routing.Scorer) []routing.Scorer {
	t.Helper()
	left := slices.DeleteFunc(slices.Clone(all), func(s routing.Scorer) bool { _, ok := s.(S); return ok })
	if len(left) == len(all) {
		t.Fatalf("scorers of the policy: %+v, want one of type %T", all, *new(S))
	}
	return left
}

func busyModel() []simLoad {
	return []simLoad{
		{gateways: 31, runners: 10, dossiers: 30, questions: 35, adapters: 80, adapterShare: 0.5, span: 20 * time.Second},
		{gateways: 5, runners: 6, dossiers: 14, questions: 18, adapters: 40, adapterShare: 0.5, span: 20 * time.Second},
	}
}

// simSeeds is the number of seeds per comparison; the shares of single seeds differ by several percentage points.
const simSeeds = 4

// Load pattern: one busy model at many entry hosts, with long dossiers and with questions that have long answers.
// Guards against sending long prompts to runners with many streams, which then pause: a score from the first token
// alone counts only the delay of the new request.
func TestBacklogCostKeepsStreamsFromPausing(t *testing.T) {
	for _, load := range busyModel() {
		all := newChooser("", nil).models.Scorers
		before, after := runLoad(load, withoutScorer[routing.BacklogScorer](t, all)), runLoad(load, all)
		t.Logf("%d entry hosts, %d runners: %+v without, %+v with the cost", load.gateways, load.runners, before, after)
		if after.lateQuestions >= before.lateQuestions || after.lateDossiers > before.lateDossiers+0.01 {
			t.Errorf("%+v: late shares %+v without and %+v with the backlog cost, want fewer late questions and no more late dossiers", load, before, after)
		}
	}
}

// Load pattern: one busy model that is loaded in all regions. Guards against requests that cross regions for a gain
// that callers do not notice, and against a region cost that makes responses late.
func TestRegionsKeepTheirTraffic(t *testing.T) {
	for _, load := range busyModel() {
		all := newChooser("", nil).models.Scorers
		low := append(withoutScorer[routing.RegionCostScorer](t, all), routing.RegionCostScorer{Cost: plainRegionCost})
		before, after := runLoad(load, low), runLoad(load, all)
		t.Logf("%d entry hosts, %d runners: %+v at the round trip, %+v at the cost for models", load.gateways, load.runners, before, after)
		if after.crossRegion >= before.crossRegion || after.lateQuestions > before.lateQuestions+0.01 || after.lateDossiers > before.lateDossiers+0.01 {
			t.Errorf("%+v: %+v with plainRegionCost and %+v with modelRegionCost, want fewer cross-region requests and no more late ones", load, before, after)
		}
	}
}
