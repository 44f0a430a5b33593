package routing

import "time"

// BacklogScorer adds the cost of a long prompt backlog to the streams in progress at a runner: a runner processes
// prompts in chunks between the tokens of its streams, so that several full chunks in a row delay every stream.
type BacklogScorer struct {
	// Cost is the cost of a backlog of BacklogUnit prompt tokens; it grows with the square of the backlog, because short
	// ones end before a pause is noticed.
	Cost time.Duration
	// PerStream is the part of the cost that each stream in progress adds.
	PerStream float64
}

// BacklogUnit is the number of prompt tokens to which the cost of BacklogScorer refers.
const BacklogUnit = 1000

// Score implements Scorer. Candidates without a prediction have no known backlog.
func (s BacklogScorer) Score(_ *Query, c Candidate) time.Duration {
	if c.Prediction == nil {
		return 0
	}
	units := float64(c.Prediction.Backlog) / BacklogUnit
	return time.Duration(float64(s.Cost) * units * units * (1 + s.PerStream*float64(c.Prediction.Streams)))
}
