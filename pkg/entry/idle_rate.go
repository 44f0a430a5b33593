package entry

import (
	"math"
	"sync/atomic"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
)

// rateTokens is the smallest uncached prompt that tells the prefill rate; the predictions for shorter ones consist
// mostly of other times.
const rateTokens = 64

// idleRate is the fastest prefill that any probe predicted, in tokens per second. A prediction contains the wait, so
// the fastest one comes closest to that of an idle runner. It is safe for concurrent use; zero means unknown.
type idleRate struct {
	bits atomic.Uint64
}

// learn takes a prediction into account.
func (r *idleRate) learn(prompt uint32, answer *ferrypb.ProbeResponse) {
	cached := min(answer.GetCachedTokens(), prompt)
	seconds := (time.Duration(answer.GetFirstTokenMicros()) * time.Microsecond).Seconds()
	if prompt-cached < rateTokens || seconds <= 0 {
		return
	}
	seen := float64(prompt-cached) / seconds
	for {
		old := r.bits.Load()
		if seen <= math.Float64frombits(old) || r.bits.CompareAndSwap(old, math.Float64bits(seen)) {
			return
		}
	}
}

// fits reports whether a runner without load and without the prompt in its cache would meet the target.
// An unknown rate counts as fast enough.
func (r *idleRate) fits(prompt uint32, target time.Duration) bool {
	rate := math.Float64frombits(r.bits.Load())
	return rate == 0 || float64(prompt)/rate <= target.Seconds()
}
