package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RendezvousOrder sorts runners by the descending hash of (key, runner). All entry hosts find the same order for the same
// set of runners, and a runner that is lost or added changes the order of no others.
func RendezvousOrder(key string, runners []string) {
	weights := make(map[string]uint64, len(runners))
	for _, r := range runners {
		weights[r] = xxhash.Sum64String(key + "\x00" + r)
	}
	slices.SortFunc(runners, func(a, b string) int {
		if c := cmp.Compare(weights[b], weights[a]); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
}
