package routing

import (
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// Values of the setting policy in section [routing].
const (
	PolicyProbe      = "probe"
	PolicyRandom     = "random"
	PolicyRoundRobin = "round_robin"
)

// Costs are the reductions of the time to the first token that justify a choice despite its side effects.
type Costs struct {
	// Region is the cost of sending the request to another region.
	Region time.Duration
	// Adapter is the cost of loading the adapter on the runner.
	Adapter time.Duration
}

// Policy combines the plugins that choose a runner.
type Policy struct {
	Filters []Filter
	Chooser Chooser
	Scorers []Scorer
	Picker  Picker
	// UsesProbes is set if the candidates that the chooser selects are probed before one is picked.
	UsesProbes bool
}

// NewPolicy returns the policy with the given name. It fails with code SettingsInvalid for an unknown name.
func NewPolicy(name string, costs Costs) (*Policy, error) {
	p := &Policy{
		Filters: []Filter{DrainingFilter{}, SuspectFilter{}, TriedFilter{}, RegionFilter{}},
		Chooser: LocalChooser{},
		Scorers: []Scorer{RegionCostScorer{Cost: costs.Region}},
	}
	switch name {
	case PolicyProbe:
		p.Chooser = ProbeChooser{}
		p.Scorers = append(p.Scorers, FirstTokenScorer{}, AdapterCostScorer{Cost: costs.Adapter})
		p.Picker = LowestPicker{}
		p.UsesProbes = true
	case PolicyRandom:
		p.Picker = RandomPicker{}
	case PolicyRoundRobin:
		p.Picker = &RoundRobinPicker{}
	default:
		return nil, failure.New(failure.SettingsInvalid, failure.NotRun, "unknown routing policy "+name+", want "+PolicyProbe+", "+PolicyRandom+" or "+PolicyRoundRobin)
	}
	return p, nil
}

// Filter applies the filters in order. NewPolicy excludes suspects before runners that were already tried: while there
// is a trusted runner, even one that just refused, the request waits for it instead of spending its attempts on a
// runner that does not respond.
func (p *Policy) Filter(q *Query, candidates []Candidate) []Candidate {
	for _, f := range p.Filters {
		candidates = f.Filter(q, candidates)
	}
	return candidates
}

// Candidates applies the filters and returns what the chooser selects. A query with a key uses KeyChooser.
func (p *Policy) Candidates(q *Query, candidates []Candidate, limit int) []Candidate {
	candidates = p.Filter(q, candidates)
	if q.Key != "" {
		return KeyChooser{}.Choose(q, candidates, limit)
	}
	return p.Chooser.Choose(q, candidates, limit)
}

// MinScore returns the part of the score that does not depend on a probe, which is the lowest score that the candidate
// can have.
func (p *Policy) MinScore(q *Query, c Candidate) time.Duration {
	c.Prediction = &Prediction{AdapterResident: true}
	return p.Score(q, c)
}

// Score returns the sum of the scores from all scorers.
func (p *Policy) Score(q *Query, c Candidate) time.Duration {
	var total time.Duration
	for _, s := range p.Scorers {
		total += s.Score(q, c)
	}
	return total
}

// Pick scores the candidates and picks one; false if there are none.
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
