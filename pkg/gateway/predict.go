package gateway

import (
	"time"

	"trefoilferry.example/ferry/pkg/serverspeed"
)

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

// plainTime returns the time of a request at a usual server of a plain service with busy of its slots taken or waited for.
func plainTime(slots, busy int) time.Duration {
	slots = max(slots, 1)
	return plainServiceTime * time.Duration(slots+busy) / time.Duration(slots)
}

// startingRates are the rates of a service until its own are learned.
var startingRates = serverspeed.Rates{PrefillPerMs: prefillTokensPerMillisecond, Step: decodeStepTime, PerRequest: decodeDelayPerRequest}

// predictFirstToken returns the expected time to the first token at a runner that has to do the work first, given the rates
// of its service and how slow it is.
func predictFirstToken(rates serverspeed.Rates, w serverspeed.Work, slowness float64) time.Duration {
	return time.Duration(float64(rates.FirstToken(w.Tokens, w.Running)) * slowness)
}
