package bench

import "math/rand/v2"

// Span is an inclusive range of integers.
type Span struct {
	Min int
	Max int
}

// pick draws a uniformly distributed value from the range.
func (s Span) pick(rng *rand.Rand) int {
	return s.Min + rng.IntN(s.Max-s.Min+1)
}
