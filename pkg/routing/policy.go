package routing

import (
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// Names of the policies in the setting [routing] policy.
const (
	PolicyProbe      = "probe"
	PolicyRandom     = "random"
	PolicyRoundRobin = "round_robin"
)

// Costs are the first token times that a choice must save to be worth its side effect.
type Costs struct {
	// Region is the cost of serving from another region.
	Region time.Duration
	// Adapter is the cost of loading an adapter.
	Adapter time.Duration
}

// Policy is a complete set of plugins.
type Policy struct {
	Filters []Filter
	Chooser Chooser
	Scorers []Scorer
	Picker  Picker
	// Probes is set when the chosen candidates are probed.
	Probes bool
}

// NewPolicy returns the policy of that name. Other names fail with code SettingsInvalid.
func NewPolicy(name string, costs Costs) (*Policy, error) {
	p := &Policy{
		Filters: []Filter{LeavingFilter{}, SuspectFilter{}, TriedFilter{}, RegionFilter{}},
		Chooser: LocalChooser{},
		Scorers: []Scorer{RegionCostScorer{Cost: costs.Region}},
	}
	switch name {
	case PolicyProbe:
		p.Chooser = ProbeChooser{}
		p.Scorers = append(p.Scorers, FirstTokenScorer{}, AdapterCostScorer{Cost: costs.Adapter})
		p.Picker = LowestPicker{}
		p.Probes = true
	case PolicyRandom:
		p.Picker = RandomPicker{}
	case PolicyRoundRobin:
		p.Picker = &RoundRobinPicker{}
	default:
		return nil, failure.New(failure.SettingsInvalid, failure.NotRun, "unknown routing policy "+name)
	}
	return p, nil
}

// Filter applies all filters. Suspects are left out before the runners already tried: while a trusted holder exists,
// even one that just refused, the request rather waits for it than spends its attempts on a runner that does not answer.
func (p *Policy) Filter(q *Query, candidates []Candidate) []Candidate {
	for _, f := range p.Filters {
		candidates = f.Filter(q, candidates)
	}
	return candidates
}

// Candidates filters and chooses.
func (p *Policy) Candidates(q *Query, candidates []Candidate, limit int) []Candidate {
	candidates = p.Filter(q, candidates)
	if q.Key != "" {
		return KeyChooser{}.Choose(q, candidates, limit)
	}
	return p.Chooser.Choose(q, candidates, limit)
}

// Cost returns the part of the score that does not depend on a probe; no score of the candidate is lower.
func (p *Policy) Cost(q *Query, c Candidate) time.Duration {
	c.Prediction = &Prediction{AdapterResident: true}
	return p.Score(q, c)
}

// Score returns the sum of the scorers.
func (p *Policy) Score(q *Query, c Candidate) time.Duration {
	var total time.Duration
	for _, s := range p.Scorers {
		total += s.Score(q, c)
	}
	return total
}

// Pick scores the candidates and picks one; false without candidates.
func (p *Policy) Pick(q *Query, candidates []Candidate) (Candidate, bool) {
	if len(candidates) == 0 {
		return Candidate{}, false
	}
	scored := make([]Scored, 0, len(candidates))
	for _, c := range candidates {
		scored = append(scored, Scored{Candidate: c, Score: p.Score(q, c)})
	}
	return p.Picker.Pick(q, scored), true
}
