package routing

import "time"

// AdapterCostScorer adds a cost to candidates that would have to load the adapter of the request: a load evicts another
// adapter, which then has to be loaded again.
type AdapterCostScorer struct {
	Cost time.Duration
}

// Score implements Scorer. Candidates without a prediction get no cost, because they may have loaded the adapter.
func (s AdapterCostScorer) Score(q *Query, c Candidate) time.Duration {
	if q.Adapter == "" || c.Prediction == nil || c.Prediction.AdapterResident {
		return 0
	}
	return s.Cost
}
