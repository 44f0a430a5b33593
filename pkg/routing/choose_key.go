package routing

// KeyChooser selects the rendezvous owner of (service, idempotency key), so that all calls with one key go to one
// agent. This only avoids conflicts: correctness is ensured by the claims in the log.
type KeyChooser struct{}

// Choose implements Chooser.
func (KeyChooser) Choose(q *Query, candidates []Candidate, limit int) []Candidate {
	i := Rendezvous(q.Target+"\x00"+q.Key, candidates)
	if i < 0 || limit < 1 {
		return nil
	}
	return []Candidate{candidates[i]}
}
