package routing

// LowestPicker picks the candidate with the lowest score. The runner's name breaks ties.
type LowestPicker struct{}

// Pick implements Picker.
func (LowestPicker) Pick(_ *Query, scored []Scored) Candidate {
	best := scored[0]
	for _, s := range scored[1:] {
		if s.Score < best.Score || (s.Score == best.Score && s.Candidate.Runner < best.Candidate.Runner) {
			best = s
		}
	}
	return best.Candidate
}
