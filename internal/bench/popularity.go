package bench

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// burstFactor is the ratio between a member's weight inside and outside its burst.
	burstFactor = 10
	// burstShare is the part of the run for which a member's burst lasts.
	burstShare = 0.25
)

// Popularity is the demand of members over time: Zipf weights in a seeded order, each multiplied tenfold during one
// seeded part of the run, so that demand moves between members.
type Popularity struct {
	duration time.Duration
	base     []float64
	// starts are the beginnings of the bursts as shares of the run.
	starts []float64
}

// NewPopularity returns the demand of n members over a run.
func NewPopularity(rng *rand.Rand, n int, exponent float64, duration time.Duration) *Popularity {
	p := &Popularity{duration: duration, base: make([]float64, n), starts: make([]float64, n)}
	for rank, member := range rng.Perm(n) {
		p.base[member] = 1 / math.Pow(float64(rank+1), exponent)
		p.starts[member] = rng.Float64()
	}
	return p
}

// Weight returns the relative demand of a member at a time of the run.
func (p *Popularity) Weight(member int, at time.Duration) float64 {
	since := float64(at)/float64(p.duration) - p.starts[member]
	if since < 0 {
		since++
	}
	if since < burstShare {
		return p.base[member] * burstFactor
	}
	return p.base[member]
}

// Pick returns a member with a probability in proportion to its weight at a time of the run.
func (p *Popularity) Pick(rng *rand.Rand, at time.Duration) int {
	total := 0.0
	for i := range p.base {
		total += p.Weight(i, at)
	}
	left := rng.Float64() * total
	for i := range p.base {
		left -= p.Weight(i, at)
		if left < 0 {
			return i
		}
	}
	return len(p.base) - 1
}
