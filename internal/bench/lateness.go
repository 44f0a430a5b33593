package bench

import (
	"fmt"
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// A run is valid only if the generator keeps up with the scheduled arrivals. Otherwise queues form in the generator and
// the measured times understate the load.
const (
	// latenessP99Limit is the upper limit of the 99th percentile of the send lateness.
	latenessP99Limit = 20 * time.Millisecond
	// An arrival sent more than lateThreshold after its time is late; at most lateShareLimit of the arrivals may be late.
	lateThreshold  = 50 * time.Millisecond
	lateShareLimit = 0.01
)

// Lateness describes the delay between the scheduled arrivals and the sending of their requests.
type Lateness struct {
	P99       time.Duration `json:"p99_ns"`
	Max       time.Duration `json:"max_ns"`
	LateShare float64       `json:"late_share"`
}

// latenessOf summarizes the send delays of all requests.
func latenessOf(delays []time.Duration) Lateness {
	if len(delays) == 0 {
		return Lateness{}
	}
	sorted := slices.Sorted(slices.Values(delays))
	count := 0
	for _, d := range sorted {
		if d > lateThreshold {
			count++
		}
	}
	// The percentile is taken from the sorted values, because the rounding of a histogram could move a value across the
	// limit.
	rank := (99*len(sorted) + 99) / 100
	return Lateness{P99: sorted[rank-1], Max: sorted[len(sorted)-1], LateShare: float64(count) / float64(len(delays))}
}

// Check fails with code GeneratorLate if the generator fell behind the scheduled arrivals.
func (l Lateness) Check() error {
	if l.P99 <= latenessP99Limit && l.LateShare <= lateShareLimit {
		return nil
	}
	message := fmt.Sprintf("the generator fell behind: lateness p99 %v (limit %v), %.2f%% of arrivals later than %v (limit %.0f%%)",
		l.P99, latenessP99Limit, 100*l.LateShare, lateThreshold, 100*lateShareLimit)
	return failure.New(failure.GeneratorLate, failure.Ran, message)
}
