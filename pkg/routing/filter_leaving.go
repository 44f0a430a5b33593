package routing

// LeavingFilter leaves out runners that are leaving or drained.
type LeavingFilter struct{}

// Filter implements Filter.
func (LeavingFilter) Filter(_ *Query, candidates []Candidate) []Candidate {
	return keep(candidates, func(c Candidate) bool { return !c.Leaving })
}
