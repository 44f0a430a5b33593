package queue

import "time"

// Rates are the batch size and speed that the engine last reported.
type Rates struct {
	// Slots is the largest number of requests in a batch of the engine.
	Slots int
	// PrefillTokensPerSecond is 0 while unknown.
	PrefillTokensPerSecond float64
	// DecodeTokensPerSecond is the rate of one running request; 0 while unknown.
	DecodeTokensPerSecond float64
}

// prefillTime returns the prefill time for a number of tokens; 0 while the rate is unknown.
func (r Rates) prefillTime(tokens float64) time.Duration {
	if r.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return time.Duration(tokens / r.PrefillTokensPerSecond * float64(time.Second))
}
