package routing

// LocalChooser passes on every candidate of the entry host's region, or every candidate if that has none.
// Policies that do not probe use it.
type LocalChooser struct{}

// Choose implements Chooser.
func (LocalChooser) Choose(q *Query, candidates []Candidate, _ int) []Candidate {
	local := keep(candidates, func(c Candidate) bool { return c.Region == q.Region })
	if len(local) == 0 {
		return candidates
	}
	return local
}
