package coordinator

import (
	"maps"
	"slices"
)

const (
	// workFields is the number of numbers for each runner in encoded work.
	workFields = 3
	// workTokenUnit is the unit of prompt tokens in encoded work; a runner processes as many in about 2 ms.
	workTokenUnit = 64
	// maxWorkRequests and maxWorkTokens are more than any runner has in progress. The prompt tokens are what callers state;
	// larger numbers would not fit into a message, and sums and times computed from them would overflow.
	maxWorkRequests = 1 << 20
	maxWorkTokens   = 1 << 30
)

// encodeWork encodes work by runner index as api/ferrypb describes it. It takes about four bytes a runner in a message,
// a third of a message for each runner.
func encodeWork(work map[uint32]runnerWork) []uint32 {
	out := make([]uint32, 0, workFields*len(work))
	previous := uint32(0)
	for _, index := range slices.Sorted(maps.Keys(work)) {
		w := work[index]
		units := (min(max(w.promptTokens, 0), maxWorkTokens) + workTokenUnit - 1) / workTokenUnit
		out = append(out, index-previous, uint32(min(max(w.requests, 0), maxWorkRequests)), uint32(units))
		previous = index
	}
	return out
}

// decodeWork decodes work by runner index. Numbers after the last complete runner are ignored.
func decodeWork(numbers []uint32) map[uint32]runnerWork {
	out := make(map[uint32]runnerWork, len(numbers)/workFields)
	index := uint32(0)
	for triple := range slices.Chunk(numbers, workFields) {
		if len(triple) < workFields {
			break
		}
		index += triple[0]
		out[index] = runnerWork{requests: int(min(triple[1], maxWorkRequests)), promptTokens: int(min(triple[2], maxWorkTokens/workTokenUnit)) * workTokenUnit}
	}
	return out
}
