package routing

// SuspectFilter excludes suspected runners, which recently did not respond, unless no other candidate is left: a wrong
// suspicion must not make a model unreachable.
type SuspectFilter struct{}

// Filter implements Filter.
func (SuspectFilter) Filter(q *Query, candidates []Candidate) []Candidate {
	trusted := filterCandidates(candidates, func(c Candidate) bool { return !q.Now.Before(q.Suspects[c.Runner]) })
	if len(trusted) == 0 {
		return candidates
	}
	return trusted
}
