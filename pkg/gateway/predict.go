package gateway

import "time"

const (
	// prefillTokensPerMillisecond is the rate at which a runner processes prompts while it decodes a usual batch.
	prefillTokensPerMillisecond = 30.0
	// decodeStepTime is the duration of one decoding step; the prefill of a prompt begins between two steps.
	decodeStepTime = 6 * time.Millisecond
	// decodeDelayPerRequest is the delay that each running request adds to the first token of another.
	decodeDelayPerRequest = 1500 * time.Microsecond
)

// prefillTime returns the time that a runner takes to process prompt tokens.
func prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillTokensPerMillisecond * float64(time.Millisecond))
}

// predictFirstToken returns the expected time to the first token of a request with uncachedTokens, at a runner with
// queuedTokens of other prompts to process and the given number of running requests.
func predictFirstToken(queuedTokens, uncachedTokens, running int) time.Duration {
	return decodeStepTime + prefillTime(max(queuedTokens, 0)+uncachedTokens) + time.Duration(running)*decodeDelayPerRequest
}
