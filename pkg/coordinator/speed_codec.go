package coordinator

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// speedFields is the number of numbers for each runner in encoded speeds.
	speedFields = 3
	// maxSpeedPercent and maxSpeedAge bound what is read of a message from another daemon; older statements are not used.
	maxSpeedPercent = 10_000
	maxSpeedAge     = 10 * time.Second
)

// statedSpeed is what the runner with an index stated about how long work takes there, as a multiple of the usual time.
type statedSpeed struct {
	index    uint32
	slowness float64
	at       time.Time
}

// encodeSpeeds encodes statements as api/ferrypb describes it, in about four bytes each.
func encodeSpeeds(speeds []statedSpeed, now time.Time) []uint32 {
	slices.SortFunc(speeds, func(a, b statedSpeed) int { return cmp.Compare(a.index, b.index) })
	out := make([]uint32, 0, speedFields*len(speeds))
	previous := uint32(0)
	for _, s := range speeds {
		percent := min(max(math.Round(s.slowness*100), 1), maxSpeedPercent)
		out = append(out, s.index-previous, uint32(percent), ageMillis(s.at, now))
		previous = s.index
	}
	return out
}

// decodeSpeeds decodes statements. Those with odd numbers, and numbers after the last complete one, are ignored.
func decodeSpeeds(numbers []uint32, now time.Time) []statedSpeed {
	out := make([]statedSpeed, 0, len(numbers)/speedFields)
	index := uint32(0)
	for triple := range slices.Chunk(numbers, speedFields) {
		if len(triple) < speedFields {
			break
		}
		index += triple[0]
		if age := millis(triple[2]); triple[1] > 0 && triple[1] <= maxSpeedPercent && age <= maxSpeedAge {
			out = append(out, statedSpeed{index: index, slowness: float64(triple[1]) / 100, at: now.Add(-age)})
		}
	}
	return out
}
