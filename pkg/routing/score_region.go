package routing

import "time"

// RegionCostScorer adds a cost to candidates in other regions, because they are farther away and traffic to them is
// billed.
type RegionCostScorer struct {
	Cost time.Duration
}

// Score implements Scorer.
func (s RegionCostScorer) Score(q *Query, c Candidate) time.Duration {
	if c.Region == q.Region {
		return 0
	}
	return s.Cost
}
