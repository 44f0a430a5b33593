package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles holds the number and the quantiles of a set of durations.
type Quantiles struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P90   time.Duration `json:"p90_ns"`
	P95   time.Duration `json:"p95_ns"`
	P99   time.Duration `json:"p99_ns"`
	Max   time.Duration `json:"max_ns"`
}

const (
	// histogramMax is the longest recorded duration in microseconds; longer durations are recorded with this value.
	histogramMax = int64(10 * time.Minute / time.Microsecond)
	// histogramDigits is the precision in significant decimal digits.
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// The error is ignored: the value is clamped to the range of the histogram.
	_ = h.RecordValue(min(max(1, d.Microseconds()), histogramMax))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Quantiles{
		Count: h.TotalCount(),
		P50:   at(50),
		P90:   at(90),
		P95:   at(95),
		P99:   at(99),
		Max:   time.Duration(h.Max()) * time.Microsecond,
	}
}
