package routing

// LeavingFilter excludes runners that are draining or drained.
type LeavingFilter struct{}

// Filter implements Filter.
func (LeavingFilter) Filter(_ *Query, candidates []Candidate) []Candidate {
	return filterCandidates(candidates, func(c Candidate) bool { return !c.Leaving })
}
