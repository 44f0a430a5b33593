package routing

// LocalChooser selects all candidates in the entry host's region, or all candidates if there are none in that region.
// It ignores the limit. Policies that do not probe use it.
type LocalChooser struct{}

// Choose implements Chooser.
func (LocalChooser) Choose(q *Query, candidates []Candidate, _ int) []Candidate {
	local := filterCandidates(candidates, func(c Candidate) bool { return c.Region == q.Region })
	if len(local) == 0 {
		return candidates
	}
	return local
}
