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
)

// encodeWork encodes work by runner index as api/ferrypb describes it. It takes about four bytes a runner in a message,
// a third of a message for each runner.
func encodeWork(work map[uint32]runnerWork) []uint32 {
	out := make([]uint32, 0, workFields*len(work))
	previous := uint32(0)
	for _, index := range slices.Sorted(maps.Keys(work)) {
		w := work[index]
		units := (max(w.promptTokens, 0) + workTokenUnit - 1) / workTokenUnit
		out = append(out, index-previous, uint32(max(w.requests, 0)), uint32(units))
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
		out[index] = runnerWork{requests: int(triple[1]), promptTokens: int(triple[2]) * workTokenUnit}
	}
	return out
}
