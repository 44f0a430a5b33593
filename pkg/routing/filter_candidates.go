package routing

func keep(candidates []Candidate, wanted func(Candidate) bool) []Candidate {
	out := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if wanted(c) {
			out = append(out, c)
		}
	}
	return out
}
