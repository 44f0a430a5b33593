package routing

import "slices"

// ProbeChooser selects the rendezvous owner of the adapter or of the prompt's prefix, and random others,
// first in the entry host's region, then elsewhere.
type ProbeChooser struct{}

// Choose implements Chooser.
func (ProbeChooser) Choose(q *Query, candidates []Candidate, limit int) []Candidate {
	local := keep(candidates, func(c Candidate) bool { return c.Region == q.Region })
	remote := keep(candidates, func(c Candidate) bool { return c.Region != q.Region })
	chosen := chooseTier(q, local, limit)
	return append(chosen, chooseTier(q, remote, limit-len(chosen))...)
}

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

// affinityKey is what the requests that should meet have in common: the adapter, whose load is a move, before the prefix.
func affinityKey(q *Query) string {
	if q.Adapter != "" {
		return q.Target + "\x00" + q.Adapter
	}
	return prefixKey(q.Target, q.PrefixHash)
}
