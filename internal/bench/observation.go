package bench

import (
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// Observation is the result of one request as its caller saw it.
type Observation struct {
	Arrival *Arrival
	// Entry is the index of the entry host to which the request was last sent.
	Entry int
	// SendDelay is the delay between the scheduled arrival and the sending of the request.
	SendDelay time.Duration
	// FirstToken and Elapsed are the times of the first token and of the end. They count from the scheduled arrival, so
	// that a late generator does not shorten them.
	FirstToken time.Duration
	Elapsed    time.Duration
	Tokens     int
	// ChunkGaps are the times between the chunks of a stream.
	ChunkGaps []time.Duration
	// Complete reports whether the response is complete and correct.
	Complete bool
	// Code and Outcome describe the failure of a failed request.
	Code    failure.Code
	Outcome failure.Outcome
	// WrongReason explains why a response is wrong: it belongs to another request, is altered, or is truncated without an
	// error. It is empty for all other responses.
	WrongReason string
	// Replayed reports whether the response is that of an earlier call with the same idempotency key.
	Replayed bool
	// SentBytes is the size of the request body, ReceivedBytes that of the response body or, for a stream, of its text.
	SentBytes     int
	ReceivedBytes int
}

// betweenTokens returns the mean time between tokens; 0 for fewer than two tokens.
func (o *Observation) betweenTokens() time.Duration {
	if o.Tokens < 2 {
		return 0
	}
	return (o.Elapsed - o.FirstToken) / time.Duration(o.Tokens-1)
}

// serviceTarget is the latency target of service calls, for which none can be configured.
const serviceTarget = time.Second

// attained reports whether the request met its latency targets. Refused, failed and incomplete requests do not.
func (o *Observation) attained() bool {
	if !o.Complete {
		return false
	}
	if o.Arrival.Class == ServiceCall {
		return o.Elapsed <= serviceTarget
	}
	m := o.Arrival.Member
	return o.FirstToken <= m.FirstToken && o.betweenTokens() <= m.BetweenTokens
}

// recordFailure sets the code and outcome of a failed request.
func (o *Observation) recordFailure(code failure.Code, outcome failure.Outcome) {
	o.Code = code
	o.Outcome = outcome
}
