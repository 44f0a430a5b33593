package routing

import "time"

// LimitScorer keeps the requests that a server with a limit still takes for those that no other server can run.
type LimitScorer struct {
	// Cost is the cost of the last request that a server takes.
	Cost time.Duration
}

// Score implements Scorer.
func (s LimitScorer) Score(_ *Query, c Candidate) time.Duration {
	return time.Duration(float64(s.Cost) * c.LimitUsed)
}
