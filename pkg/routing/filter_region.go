package routing

// RegionFilter moves candidates in the entry host's region to the front. It excludes none: remote candidates use probes
// that are left over, and their score includes the region cost.
type RegionFilter struct{}

// Filter implements Filter.
func (RegionFilter) Filter(q *Query, candidates []Candidate) []Candidate {
	local := filterCandidates(candidates, func(c Candidate) bool { return c.Region == q.Region })
	remote := filterCandidates(candidates, func(c Candidate) bool { return c.Region != q.Region })
	return append(local, remote...)
}
