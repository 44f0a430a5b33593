package bench

import (
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// Observation is what the caller of one request saw.
type Observation struct {
	Arrival *Arrival
	// Entry is the index of the entry host that took the request.
	Entry int
	// Late is the time between the arrival and its sending.
	Late time.Duration
	// FirstToken and Done are counted from the arrival, so that a late generator does not shorten them.
	FirstToken time.Duration
	Done       time.Duration
	Tokens     int
	// Gaps are the times between the pieces of a stream.
	Gaps []time.Duration
	// Whole tells that the answer arrived complete and equals the expected one.
	Whole bool
	// Code and Outcome belong to a failed request.
	Code    failure.Code
	Outcome failure.Outcome
	// Wrong explains an answer that breaks the interface: foreign, short or altered.
	Wrong string
	// Replayed tells that the answer of an earlier call with the same key was returned.
	Replayed bool
	// SentBytes and ReceivedBytes are the sizes of the bodies.
	SentBytes     int
	ReceivedBytes int
}

// betweenTokens returns the mean time between tokens.
func (o *Observation) betweenTokens() time.Duration {
	if o.Tokens < 2 {
		return 0
	}
	return (o.Done - o.FirstToken) / time.Duration(o.Tokens-1)
}

// serviceTarget is the time in which a service call must be answered to count as attained; services have no
// configured target.
const serviceTarget = time.Second

// attained reports whether the request met its targets. Refused and broken requests do not.
func (o *Observation) attained() bool {
	if !o.Whole {
		return false
	}
	if o.Arrival.Class == ServiceCall {
		return o.Done <= serviceTarget
	}
	m := o.Arrival.Member
	return o.FirstToken <= m.FirstToken && o.betweenTokens() <= m.BetweenTokens
}

// fail notes a failure of the request.
func (o *Observation) fail(code failure.Code, outcome failure.Outcome) {
	o.Code = code
	o.Outcome = outcome
}
