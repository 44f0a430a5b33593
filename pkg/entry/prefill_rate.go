package entry

import (
	"math"
	"sync/atomic"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
)

// minRateTokens is the smallest number of uncached prompt tokens from which the prefill rate is computed. In predictions
// for shorter prompts, most of the time is not prefill.
const minRateTokens = 64

// prefillRate estimates the prefill rate of an idle runner in tokens per second: the highest rate derived from any probe.
// Predictions include the time in the queue, so the highest rate is the closest to an idle runner's. It is safe for
// concurrent use. The zero value is an unknown rate.
type prefillRate struct {
	// bits holds the rate as math.Float64bits; 0 while it is unknown.
	bits atomic.Uint64
}

// observe updates the rate from the response to a probe for a prompt of that many tokens.
func (r *prefillRate) observe(prompt uint32, response *ferrypb.ProbeResponse) {
	cached := min(response.GetCachedTokens(), prompt)
	seconds := (time.Duration(response.GetFirstTokenMicros()) * time.Microsecond).Seconds()
	if prompt-cached < minRateTokens || seconds <= 0 {
		return
	}
	rate := float64(prompt-cached) / seconds
	for {
		old := r.bits.Load()
		if rate <= math.Float64frombits(old) || r.bits.CompareAndSwap(old, math.Float64bits(rate)) {
			return
		}
	}
}

// meetsTarget reports whether an idle runner could prefill the uncached prompt within the target. It returns true while
// the rate is unknown.
func (r *prefillRate) meetsTarget(prompt uint32, target time.Duration) bool {
	rate := math.Float64frombits(r.bits.Load())
	return rate == 0 || float64(prompt)/rate <= target.Seconds()
}
