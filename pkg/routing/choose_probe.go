package routing

import "slices"

// ProbeChooser selects the rendezvous owner of the request's adapter or prompt prefix, and random other candidates. It
// does so first in the entry host's region, and in other regions if that has fewer candidates than the limit.
type ProbeChooser struct{}

// Choose implements Chooser.
func (ProbeChooser) Choose(q *Query, candidates []Candidate, limit int) []Candidate {
	local := filterCandidates(candidates, func(c Candidate) bool { return c.Region == q.Region })
	remote := filterCandidates(candidates, func(c Candidate) bool { return c.Region != q.Region })
	chosen := chooseTier(q, local, limit)
	return append(chosen, chooseTier(q, remote, limit-len(chosen))...)
}

// chooseTier selects up to limit candidates: the rendezvous owner first, then random ones.
func chooseTier(q *Query, candidates []Candidate, limit int) []Candidate {
	var chosen []Candidate
	rest := slices.Clone(candidates)
	for len(chosen) < limit && len(rest) > 0 {
		i := q.Rand.IntN(len(rest))
		if len(chosen) == 0 {
			i = Rendezvous(affinityKey(q), rest)
		}
		chosen = append(chosen, rest[i])
		rest = slices.Delete(rest, i, i+1)
	}
	return chosen
}

// affinityKey returns the rendezvous key that is equal for requests that should go to the same runner. The adapter
// takes precedence over the prefix, because loading it on another runner is more costly.
func affinityKey(q *Query) string {
	if q.Adapter != "" {
		return q.Target + "\x00" + q.Adapter
	}
	return prefixKey(q.Target, q.PrefixHash)
}
