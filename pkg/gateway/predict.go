package gateway

import "time"

const (
	// prefillTokensPerMillisecond is the rate at which a runner processes prompts beside a usual batch.
	prefillTokensPerMillisecond = 30.0
	// stepTime is the time of one decoding step; a prompt begins between two steps.
	stepTime = 6 * time.Millisecond
	// decodeDelay is the delay that each running request adds to a first token.
	decodeDelay = 1500 * time.Microsecond
)

// prefillTime returns the time that a runner takes to process prompt tokens.
func prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerMillisecond * float64(time.Millisecond))
}

// predictFirstToken returns the time to the first token at a runner with the given work.
func predictFirstToken(queuedTokens, uncachedTokens, running int) time.Duration {
	return stepTime + prefillTime(max(queuedTokens, 0)+uncachedTokens) + time.Duration(running)*decodeDelay
}
