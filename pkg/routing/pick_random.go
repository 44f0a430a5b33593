package routing

// RandomPicker picks a candidate with uniform probability.
type RandomPicker struct{}

// Pick implements Picker.
func (RandomPicker) Pick(q *Query, scored []Scored) Candidate {
	return scored[q.Rand.IntN(len(scored))].Candidate
}
