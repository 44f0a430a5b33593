package bench

import "math/rand/v2"

// IntRange is an inclusive range of integers.
type IntRange struct {
	Min int
	Max int
}

// pick draws a uniformly distributed value from the range.
func (r IntRange) pick(rng *rand.Rand) int {
	return r.Min + rng.IntN(r.Max-r.Min+1)
}
