package coordinator

import (
	"math"
	"testing"
)

// Guards against work that reaches other daemons as an arbitrary number because it does not fit into a message: a busy
// runner then seems idle, and an idle one busy.
func TestOddWorkIsBounded(t *testing.T) {
	for name, c := range map[string]struct{ work, want runnerWork }{
		"as large as can be":   {runnerWork{math.MaxInt, math.MaxInt}, runnerWork{maxWorkRequests, maxWorkTokens}},
		"a little over 2^32":   {runnerWork{1 << 32, 1 << 38}, runnerWork{maxWorkRequests, maxWorkTokens}},
		"negative":             {runnerWork{-1, -1}, runnerWork{}},
		"as small as can be":   {runnerWork{math.MinInt, math.MinInt}, runnerWork{}},
		"largest usual prompt": {runnerWork{64, 1 << 20}, runnerWork{64, 1 << 20}},
	} {
		if got := decodeWork(encodeWork(map[uint32]runnerWork{7: c.work})); got[7] != c.want {
			t.Errorf("%s: %+v, want %+v", name, got[7], c.want)
		}
	}
}

// Guards against sums over all daemons that overflow, and panics, on numbers from another writer.
func TestOddWorkMessagesAreDecoded(t *testing.T) {
	for name, numbers := range map[string][]uint32{
		"none":                  nil,
		"incomplete":            {1, 2},
		"index that wraps":      {math.MaxUint32, 1, 1, 5, 2, 2},
		"same index twice":      {3, 1, 1, 0, 2, 2},
		"largest numbers":       {0, math.MaxUint32, math.MaxUint32},
		"many, all the largest": {math.MaxUint32, math.MaxUint32, math.MaxUint32, math.MaxUint32, math.MaxUint32, math.MaxUint32},
	} {
		for index, w := range decodeWork(numbers) {
			if w.requests < 0 || w.requests > maxWorkRequests || w.promptTokens < 0 || w.promptTokens > maxWorkTokens {
				t.Errorf("%s: %+v at runner %d, want at most %d requests and %d tokens", name, w, index, maxWorkRequests, maxWorkTokens)
			}
		}
	}
}
