package serverspeed

import (
	"math"
	"time"
)

// Rates are how long work takes at a usual server of a service.
type Rates struct {
	// PrefillPerMs is the number of prompt tokens that are processed in a millisecond.
	PrefillPerMs float64
	// Step is the duration of one decoding step.
	Step time.Duration
	// PerRequest is the delay that each running request adds to the first token of another.
	PerRequest time.Duration
}

// FirstToken returns the time to the first token of a request at a usual server, with the tokens of its prompt and of those
// before it, and the number of running requests.
func (r Rates) FirstToken(tokens, running int) time.Duration {
	return r.Step + r.Prefill(tokens) + time.Duration(running)*r.PerRequest
}

// Prefill returns the time in which a usual server processes prompt tokens.
func (r Rates) Prefill(tokens int) time.Duration {
	return time.Duration(float64(max(tokens, 0)) / r.PrefillPerMs * float64(time.Millisecond))
}

const (
	// rateBound is the largest factor by which a learned rate may differ from its starting value, either way.
	rateBound = 3.0
	// rateGain is the share of an error by which the rates follow it, and rateErrorLimit the largest error, as a logarithm,
	// of which account is taken: times to the first event have a long tail of waits that the rates do not explain.
	rateGain       = 0.03
	rateErrorLimit = 0.4
)

// learn returns the rates after a request that took the given logarithm longer than predicted. Each rate changes in
// proportion to its part in the prediction.
func (r Rates) learn(start Rates, w Work, err float64) Rates {
	whole := float64(r.FirstToken(w.Tokens, w.Running))
	if whole <= 0 {
		return r
	}
	move := rateGain * min(max(err, -rateErrorLimit), rateErrorLimit)
	part := func(d time.Duration) float64 { return math.Exp(move * float64(d) / whole) }
	return Rates{
		PrefillPerMs: bounded(r.PrefillPerMs/part(r.Prefill(w.Tokens)), start.PrefillPerMs),
		Step:         time.Duration(bounded(float64(r.Step)*part(r.Step), float64(start.Step))),
		PerRequest:   time.Duration(bounded(float64(r.PerRequest)*part(time.Duration(w.Running)*r.PerRequest), float64(start.PerRequest))),
	}
}

func bounded(value, start float64) float64 {
	return min(max(value, start/rateBound), start*rateBound)
}
