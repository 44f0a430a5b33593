package routing

// filterCandidates returns a new slice of the candidates for which match returns true.
func filterCandidates(candidates []Candidate, match func(Candidate) bool) []Candidate {
	out := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if match(c) {
			out = append(out, c)
		}
	}
	return out
}
