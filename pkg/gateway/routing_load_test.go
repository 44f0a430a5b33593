package gateway

import (
	"slices"
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/routing"
)

// shares are the parts of all requests of a kind.
type shares struct{ lateDossiers, lateQuestions, crossed float64 }

// play plays a load with several seeds.
func play(load simLoad, scorers []routing.Scorer) shares {
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
		sum.crossed += r.crossed
	}
	return shares{
		lateDossiers:  float64(sum.lateDossiers) / float64(sum.dossiers),
		lateQuestions: float64(sum.lateQuestions) / float64(sum.questions),
		crossed:       float64(sum.crossed) / float64(sum.dossiers+sum.questions),
	}
}

// without returns the scorers but those of the given type, or fails when there is none.
func without[S routing.Scorer](t *testing.T, all []routing.Scorer) []routing.Scorer {
	t.Helper()
	left := slices.DeleteFunc(slices.Clone(all), func(s routing.Scorer) bool { _, ok := s.(S); return ok })
	if len(left) == len(all) {
		t.Fatal("the policy lacks the scorer that the test leaves out")
	}
	return left
}

func busyModel() []simLoad {
	return []simLoad{
		{gateways: 31, runners: 10, dossiers: 30, questions: 35, adapters: 80, adapterShare: 0.5, span: 20 * time.Second},
		{gateways: 5, runners: 6, dossiers: 14, questions: 18, adapters: 40, adapterShare: 0.5, span: 20 * time.Second},
	}
}

// simSeeds is the number of seeds that a comparison plays; single ones differ by several points.
const simSeeds = 4

// Load pattern: one busy model at many entry hosts, long dossiers beside questions with long answers. Guards against
// prompts that are sent to runners with many streams, whose answers then pause: rating by the first token alone counts
// only the wait of the new request.
func TestBacklogCostKeepsStreamsFromPausing(t *testing.T) {
	for _, load := range busyModel() {
		all := newChooser("", nil).models.Scorers
		before, after := play(load, without[routing.BacklogScorer](t, all)), play(load, all)
		t.Logf("%d entry hosts, %d runners: %+v without, %+v with the cost", load.gateways, load.runners, before, after)
		if after.lateQuestions >= before.lateQuestions || after.lateDossiers > before.lateDossiers+0.01 {
			t.Errorf("%+v: the backlog cost does not help", load)
		}
	}
}

// Load pattern: one busy model with holders in all regions. Guards against prompts and streams that cross regions for a
// gain that callers do not notice, and against a cost of regions that makes answers late.
func TestRegionsKeepTheirTraffic(t *testing.T) {
	for _, load := range busyModel() {
		all := newChooser("", nil).models.Scorers
		low := append(without[routing.RegionCostScorer](t, all), routing.RegionCostScorer{Cost: regionCost})
		before, after := play(load, low), play(load, all)
		t.Logf("%d entry hosts, %d runners: %+v at the round trip, %+v at the cost for models", load.gateways, load.runners, before, after)
		if after.crossed >= before.crossed || after.lateQuestions > before.lateQuestions+0.01 || after.lateDossiers > before.lateDossiers+0.01 {
			t.Errorf("%+v: the cost of regions does not help", load)
		}
	}
}
