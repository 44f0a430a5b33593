package bench

import (
	"fmt"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// Result is the result of one run.
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
	// Flood is the name of the member with extra load, if any; OtherMembers is the attainment of all other members.
	Flood        string `json:"flood"`
	OtherMembers Share  `json:"others"`
	// AttainmentOverTime is the attainment of generations by time of arrival.
	AttainmentOverTime       []AttainmentPoint    `json:"course"`
	FirstToken               Quantiles            `json:"first_token"`
	BetweenTokens            Quantiles            `json:"between_tokens"`
	BetweenTokensRequestMean Quantiles            `json:"between_tokens_request_mean"`
	Moves                    Moves                `json:"moves"`
	CrossRegion              CrossRegionTraffic   `json:"cross_region"`
	FailuresByCode           map[failure.Code]int `json:"rejections"`
	ReplayedCalls            int                  `json:"replayed_keys"`
	Failed                   []FailedRequest      `json:"failed"`
	Breaches                 []Breach             `json:"breaches"`
	Usage                    SystemUsage          `json:"usage"`
	Lateness                 Lateness             `json:"lateness"`

	observations []*Observation
}

// Check fails with code GeneratorLate if the generator fell behind, and with code InvariantBroken if the run showed a
// breach.
func (r *Result) Check() error {
	if err := r.Lateness.Check(); err != nil {
		return err
	}
	if len(r.Breaches) > 0 {
		return failure.New(failure.InvariantBroken, failure.Ran, fmt.Sprintf("the run showed %d breaches; the first is %s %s: %s",
			len(r.Breaches), r.Breaches[0].Kind, r.Breaches[0].Subject, r.Breaches[0].Detail))
	}
	return nil
}

// measured returns the observations of requests that arrived after the warm-up.
func measured(all []*Observation, warmup time.Duration) []*Observation {
	var out []*Observation
	for _, o := range all {
		if o.Arrival.At >= warmup {
			out = append(out, o)
		}
	}
	return out
}

// fillTimes computes the latency distributions of generations.
func (r *Result) fillTimes(observations []*Observation) {
	first, gaps, means := newHistogram(), newHistogram(), newHistogram()
	for _, o := range observations {
		if o.Arrival.Class == ServiceCall || o.Tokens == 0 {
			continue
		}
		record(first, o.FirstToken)
		for _, gap := range o.ChunkGaps {
			record(gaps, gap)
		}
		if o.Tokens > 1 {
			record(means, o.betweenTokens())
		}
	}
	r.FirstToken = quantiles(first)
	r.BetweenTokens = quantiles(gaps)
	r.BetweenTokensRequestMean = quantiles(means)
}

// fillFailures counts failures by code, and responses replayed from an earlier call.
func (r *Result) fillFailures(observations []*Observation) {
	r.FailuresByCode = map[failure.Code]int{}
	for _, o := range observations {
		if o.Code != "" {
			r.FailuresByCode[o.Code]++
		}
		if o.Replayed {
			r.ReplayedCalls++
		}
	}
}

func sendDelays(observations []*Observation) []time.Duration {
	out := make([]time.Duration, 0, len(observations))
	for _, o := range observations {
		out = append(out, o.SendDelay)
	}
	return out
}
