package bench

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// burstFactor is the ratio of a member's weight during its burst to its weight outside.
	burstFactor = 10
	// burstShare is the length of a burst as a share of the run.
	burstShare = 0.25
)

// Popularity is the distribution of demand over members. Each member has a Zipf weight by its rank in a random order. The
// weight is multiplied by ten during a burst that starts at a random time and continues at the start of the run if it
// passes the end. The bursts make demand move between members during a run.
type Popularity struct {
	duration    time.Duration
	baseWeights []float64
	// burstStarts are the start times of the bursts as shares of the run.
	burstStarts []float64
}

// NewPopularity draws the popularity of n members over a run of the given duration. exponent is that of the Zipf weights.
func NewPopularity(rng *rand.Rand, n int, exponent float64, duration time.Duration) *Popularity {
	p := &Popularity{duration: duration, baseWeights: make([]float64, n), burstStarts: make([]float64, n)}
	for rank, member := range rng.Perm(n) {
		p.baseWeights[member] = 1 / math.Pow(float64(rank+1), exponent)
		p.burstStarts[member] = rng.Float64()
	}
	return p
}

// Weight returns the relative demand of a member at a time since the start of the run.
func (p *Popularity) Weight(member int, at time.Duration) float64 {
	since := float64(at)/float64(p.duration) - p.burstStarts[member]
	if since < 0 {
		since++
	}
	if since < burstShare {
		return p.baseWeights[member] * burstFactor
	}
	return p.baseWeights[member]
}

// Pick draws a member with a probability proportional to its weight at a time since the start of the run.
func (p *Popularity) Pick(rng *rand.Rand, at time.Duration) int {
	total := 0.0
	for i := range p.baseWeights {
		total += p.Weight(i, at)
	}
	left := rng.Float64() * total
	for i := range p.baseWeights {
		left -= p.Weight(i, at)
		if left < 0 {
			return i
		}
	}
	return len(p.baseWeights) - 1
}
