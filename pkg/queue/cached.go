package queue

import (
	"time"

	"trefoilferry.example/ferry/pkg/engine"
)

// sharedTokens returns the tokens of the blocks with which both prompts begin.
func (r *Request) sharedTokens(other *Request) uint32 {
	n := 0
	for n < len(r.Blocks) && n < len(other.Blocks) && r.Blocks[n] == other.Blocks[n] {
		n++
	}
	return uint32(n) * engine.BlockTokens
}

// uncached returns the prompt tokens of a request that has not started which the engine will compute. The prompts of
// running requests count as cached, because prefillPermits lets the request wait for the end of their prefill.
func (q *Queue) uncached(r *Request) float64 {
	out := *r
	for _, other := range q.running {
		out.CachedTokens = max(out.CachedTokens, r.sharedTokens(&other.request))
	}
	return out.prefillTokens()
}

// leader returns the running request whose prefill a request should wait for, since it saves a long prefill; nil if none.
func (q *Queue) leader(r *Request) *entry {
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
		if q.rates.prefillTime(float64(shared-r.CachedTokens)) >= q.config.LongPrefill {
			best, saved = other, shared
		}
	}
	return best
}

// alone returns the time to the first token of a request without other load: its own prefill, after that of its leader.
func (q *Queue) alone(now time.Time, r *Request) time.Duration {
	tokens := q.uncached(r)
	if leader := q.leader(r); leader != nil {
		tokens += leader.remaining(now, q.rates)
	}
	return q.rates.prefillTime(tokens)
}
