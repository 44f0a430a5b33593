package routing

// TriedFilter leaves out runners that already failed the request.
type TriedFilter struct{}

// Filter implements Filter.
func (TriedFilter) Filter(q *Query, candidates []Candidate) []Candidate {
	return keep(candidates, func(c Candidate) bool { return !q.Tried[c.Runner] })
}
