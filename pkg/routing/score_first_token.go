package routing

import "time"

// unknownFirstToken is the score without a prediction; it is higher than any useful prediction.
const unknownFirstToken = time.Hour

// FirstTokenScorer scores candidates by the predicted time to the first token.
type FirstTokenScorer struct{}

// Score implements Scorer.
func (FirstTokenScorer) Score(_ *Query, c Candidate) time.Duration {
	if c.Prediction == nil {
		return unknownFirstToken
	}
	return c.Prediction.FirstToken
}
