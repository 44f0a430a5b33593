package routing

// KeyChooser selects the rendezvous owner of (service, key), so that the calls of one key meet at one agent.
// Correctness rests on the claims in the log; the choice only saves a conflict.
type KeyChooser struct{}

// Choose implements Chooser.
func (KeyChooser) Choose(q *Query, candidates []Candidate, limit int) []Candidate {
	i := Rendezvous(q.Target+"\x00"+q.Key, candidates)
	if i < 0 || limit < 1 {
		return nil
	}
	return []Candidate{candidates[i]}
}
