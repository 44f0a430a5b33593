package routing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous returns the index of the candidate with the highest hash of (key, runner), the owner of the key; -1 if
// there are no candidates. For the same set of candidates, in any order, all entry hosts find the same owner.
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

// prefixKey returns the rendezvous key of a prompt prefix for a target.
func prefixKey(target string, prefix uint64) string {
	return target + "\x00" + string(binary.BigEndian.AppendUint64(nil, prefix))
}
