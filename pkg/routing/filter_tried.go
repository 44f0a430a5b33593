package routing

// TriedFilter excludes runners that have already failed the request.
type TriedFilter struct{}

// Filter implements Filter.
func (TriedFilter) Filter(q *Query, candidates []Candidate) []Candidate {
	return filterCandidates(candidates, func(c Candidate) bool { return !q.Tried[c.Runner] })
}
