package routing

// AllChooser passes every candidate on; the baselines that do not probe use it.
type AllChooser struct{}

// Choose implements Chooser.
func (AllChooser) Choose(_ *Query, candidates []Candidate, _ int) []Candidate { return candidates }
