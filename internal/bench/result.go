package bench

import (
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// Result is the outcome of one run.
type Result struct {
	Profile  string        `json:"profile"`
	Policy   string        `json:"policy"`
	Rate     float64       `json:"rate"`
	Duration time.Duration `json:"duration_ns"`
	Warmup   time.Duration `json:"warmup_ns"`
	Seed     uint64        `json:"seed"`
	Faults   []string      `json:"faults"`

	Accelerators int        `json:"accelerators"`
	Requests     int        `json:"requests"`
	Attainment   Attainment `json:"attainment"`
	// Flood names the flooding member, if any; Others is the attainment of all other members.
	Flood  string `json:"flood"`
	Others Share  `json:"others"`
	// Course is the attainment over time.
	Course      []CoursePart         `json:"course"`
	FirstToken  Quantiles            `json:"first_token"`
	Between     Quantiles            `json:"between_tokens"`
	RequestMean Quantiles            `json:"between_tokens_request_mean"`
	Moves       Moves                `json:"moves"`
	Crossing    Crossing             `json:"cross_region"`
	Rejections  map[failure.Code]int `json:"rejections"`
	Replayed    int                  `json:"replayed_keys"`
	Failed      []Failed             `json:"failed"`
	Breaches    []Breach             `json:"breaches"`
	Usage       SystemUsage          `json:"usage"`
	Lateness    Lateness             `json:"lateness"`

	observations []*Observation
}

// Check fails when the generator fell behind (GeneratorLate) or the run showed a breach (InvariantBroken).
func (r *Result) Check() error {
	if err := r.Lateness.Check(); err != nil {
		return err
	}
	if len(r.Breaches) > 0 {
		return failure.New(failure.InvariantBroken, failure.Ran, "the run showed breaches")
	}
	return nil
}

// measured returns the observations of arrivals after the warm-up.
func measured(all []*Observation, warmup time.Duration) []*Observation {
	var out []*Observation
	for _, o := range all {
		if o.Arrival.At >= warmup {
			out = append(out, o)
		}
	}
	return out
}

// fillTimes computes the distributions of times, of generations only.
func (r *Result) fillTimes(observations []*Observation) {
	first, gaps, means := newHistogram(), newHistogram(), newHistogram()
	for _, o := range observations {
		if o.Arrival.Class == ServiceCall || o.Tokens == 0 {
			continue
		}
		record(first, o.FirstToken)
		for _, gap := range o.Gaps {
			record(gaps, gap)
		}
		if o.Tokens > 1 {
			record(means, o.betweenTokens())
		}
	}
	r.FirstToken = quantiles(first)
	r.Between = quantiles(gaps)
	r.RequestMean = quantiles(means)
}

// fillRejections counts failures by code.
func (r *Result) fillRejections(observations []*Observation) {
	r.Rejections = map[failure.Code]int{}
	for _, o := range observations {
		if o.Code != "" {
			r.Rejections[o.Code]++
		}
		if o.Replayed {
			r.Replayed++
		}
	}
}

func latenessValues(observations []*Observation) []time.Duration {
	out := make([]time.Duration, 0, len(observations))
	for _, o := range observations {
		out = append(out, o.Late)
	}
	return out
}
