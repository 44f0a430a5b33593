package bench

import (
	"fmt"
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// A run is valid only while the generator keeps up with its arrivals; else queues form in the generator and the
// measured times understate the load.
const (
	// latenessP99Limit bounds the 99th percentile of the send lateness.
	latenessP99Limit = 20 * time.Millisecond
	// lateLimit is the lateness that counts as late; at most lateShareLimit of the arrivals may be late.
	lateLimit      = 50 * time.Millisecond
	lateShareLimit = 0.01
)

// Lateness tells how far sending lagged behind the arrivals.
type Lateness struct {
	P99       time.Duration `json:"p99_ns"`
	Max       time.Duration `json:"max_ns"`
	LateShare float64       `json:"late_share"`
}

// latenessOf returns the lateness of all requests.
func latenessOf(late []time.Duration) Lateness {
	if len(late) == 0 {
		return Lateness{}
	}
	sorted := slices.Sorted(slices.Values(late))
	count := 0
	for _, d := range sorted {
		if d > lateLimit {
			count++
		}
	}
	// The rank is exact, because a histogram's rounding would move values over the limit.
	rank := (99*len(sorted) + 99) / 100
	return Lateness{P99: sorted[rank-1], Max: sorted[len(sorted)-1], LateShare: float64(count) / float64(len(late))}
}

// Check fails with code GeneratorLate when the generator fell behind.
func (l Lateness) Check() error {
	if l.P99 <= latenessP99Limit && l.LateShare <= lateShareLimit {
		return nil
	}
	message := fmt.Sprintf("the generator fell behind: lateness p99 %v (limit %v), %.2f%% of arrivals later than %v (limit %.0f%%)",
		l.P99, latenessP99Limit, 100*l.LateShare, lateLimit, 100*lateShareLimit)
	return failure.New(failure.GeneratorLate, failure.Ran, message)
}
