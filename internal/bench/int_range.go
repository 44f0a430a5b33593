package bench

import "math/rand/v2"

// IntRange is an inclusive range of integers.
type IntRange struct {
	Min int
	Max int
}

// pick draws a uniformly distributed value from the range.
func (s IntRange) pick(rng *rand.Rand) int {
	return s.Min + rng.IntN(s.Max-s.Min+1)
}
