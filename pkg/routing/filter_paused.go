package routing

// PausedFilter excludes servers that want no requests for a while.
type PausedFilter struct{}

// Filter implements Filter.
func (PausedFilter) Filter(_ *Query, candidates []Candidate) []Candidate {
	return filterCandidates(candidates, func(c Candidate) bool { return c.PauseLeft <= 0 })
}
