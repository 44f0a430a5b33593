package routing

import "time"

// BacklogScorer adds the cost that a long prompt backlog causes to the streams in flight at a runner: a runner
// processes prompts in chunks between the tokens of its streams, so that several full chunks in a row delay every
// stream. What counts is the time that the backlog takes there.
type BacklogScorer struct {
	// Cost is the cost of a backlog of BacklogUnitTokens. The cost grows with the square of the backlog, because short
	// backlogs end before callers notice a pause.
	Cost time.Duration
	// PerStream is the fraction of the cost that each stream in flight adds.
	PerStream float64
}

// BacklogUnitTokens is the number of prompt tokens that BacklogScorer.Cost refers to.
const BacklogUnitTokens = 1000

// Score implements Scorer. Candidates without a prediction get no cost, because their backlog is unknown.
func (s BacklogScorer) Score(_ *Query, c Candidate) time.Duration {
	if c.Prediction == nil {
		return 0
	}
	units := float64(c.Prediction.BacklogTokens) / BacklogUnitTokens
	if c.Prediction.Slowness > 0 {
		units *= c.Prediction.Slowness
	}
	return time.Duration(float64(s.Cost) * units * units * (1 + s.PerStream*float64(c.Prediction.Streams)))
}
