package routing

import "time"

// SeparationScorer keeps long and short prompts apart on the servers of one model, as far as load permits: long prompts
// gather on the servers that are marked for them, short ones on the others. A runner processes prompts between the tokens
// of its streams, so that a long prompt delays every stream of the server that processes it.
//
// The length of a prompt is the number of tokens that the candidate has not cached.
type SeparationScorer struct {
	// Cost is the cost of a long prompt at a server for short ones, and of a short prompt at a server for long ones. It is
	// the gain in time at which a request goes to the other kind of server nevertheless.
	Cost time.Duration
	// ShortTokens is the length up to which prompts are short, LongTokens the length from which they are long. Between
	// them the cost changes linearly.
	ShortTokens int
	LongTokens  int
}

// Score implements Scorer. Candidates without a prediction get no cost, because the length of the prompt there is unknown.
func (s SeparationScorer) Score(q *Query, c Candidate) time.Duration {
	if !q.SeparateLengths || c.Prediction == nil {
		return 0
	}
	long := float64(c.Prediction.UncachedTokens-s.ShortTokens) / float64(max(s.LongTokens-s.ShortTokens, 1))
	long = min(max(long, 0), 1)
	if c.ForLongPrompts {
		return time.Duration(float64(s.Cost) * (1 - long))
	}
	return time.Duration(float64(s.Cost) * long)
}
