package routing

import "time"

// unknownFirstToken rates a candidate whose probe did not answer behind every useful prediction.
const unknownFirstToken = time.Hour

// FirstTokenScorer rates by the predicted time to the first token.
type FirstTokenScorer struct{}

// Score implements Scorer.
func (FirstTokenScorer) Score(_ *Query, c Candidate) time.Duration {
	if c.Prediction == nil {
		return unknownFirstToken
	}
	return c.Prediction.FirstToken
}
