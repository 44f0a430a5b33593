package routing

// DrainingFilter excludes runners that are draining or drained.
type DrainingFilter struct{}

// Filter implements Filter.
func (DrainingFilter) Filter(_ *Query, candidates []Candidate) []Candidate {
	return filterCandidates(candidates, func(c Candidate) bool { return !c.Draining })
}
