package routing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous returns the index of the candidate with the highest hash of (key, runner); -1 without candidates.
// Every entry host finds the same owner for equal candidates, in whatever order they are.
func Rendezvous(key string, candidates []Candidate) int {
	best := -1
	var highest uint64
	for i, c := range candidates {
		weight := xxhash.Sum64String(key + "\x00" + c.Runner)
		if best < 0 || weight > highest || (weight == highest && c.Runner < candidates[best].Runner) {
			best = i
			highest = weight
		}
	}
	return best
}

// prefixKey joins the target and the prefix hash.
func prefixKey(target string, prefix uint64) string {
	return target + "\x00" + string(binary.BigEndian.AppendUint64(nil, prefix))
}
