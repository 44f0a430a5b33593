package routing

// RandomPicker takes any candidate with equal chance.
type RandomPicker struct{}

// Pick implements Picker.
func (RandomPicker) Pick(q *Query, scored []Scored) Candidate {
	return scored[q.Rand.IntN(len(scored))].Candidate
}
