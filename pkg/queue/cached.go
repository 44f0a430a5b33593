package queue

import (
	"time"

	"trefoilferry.example/ferry/pkg/engine"
)

// sharedTokens returns the number of tokens in the leading blocks that both prompts have in common.
func (r *Request) sharedTokens(other *Request) uint32 {
	n := 0
	for n < len(r.Blocks) && n < len(other.Blocks) && r.Blocks[n] == other.Blocks[n] {
		n++
	}
	return uint32(n) * engine.BlockTokens
}

// uncachedTokens returns the number of prompt tokens that the engine will have to compute for a request that has not
// started. The prompts of running requests count as cached, because prefillAllowed makes the request wait for the end
// of their prefill.
func (q *Queue) uncachedTokens(r *Request) float64 {
	out := *r
	for _, other := range q.running {
		out.CachedTokens = max(out.CachedTokens, r.sharedTokens(&other.request))
	}
	return out.prefillTokens()
}

// prefillToAwait returns the running request whose prefill a request should wait for, because the prefix that they
// share saves it at least LongPrefillTime; nil if there is none.
func (q *Queue) prefillToAwait(r *Request) *entry {
	var best *entry
	saved := uint32(0)
	for _, other := range q.running {
		if other.prefilled {
			continue
		}
		shared := r.sharedTokens(&other.request)
		if shared <= max(saved, r.CachedTokens) {
			continue
		}
		if q.rates.prefillTime(float64(shared-r.CachedTokens)) >= q.config.LongPrefillTime {
			best, saved = other, shared
		}
	}
	return best
}

// firstTokenAlone returns the time to the first token of a request if there were no other load: its own prefill, after
// the prefill that it waits for.
func (q *Queue) firstTokenAlone(now time.Time, r *Request) time.Duration {
	tokens := q.uncachedTokens(r)
	if awaited := q.prefillToAwait(r); awaited != nil {
		tokens += awaited.remainingPrefill(now, q.rates)
	}
	return q.rates.prefillTime(tokens)
}
