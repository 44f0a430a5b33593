package routing

// RegionFilter moves candidates of the entry host's region to the front. It drops none: remote copies fill
// free probe slots and carry the region's cost in their score.
type RegionFilter struct{}

// Filter implements Filter.
func (RegionFilter) Filter(q *Query, candidates []Candidate) []Candidate {
	local := keep(candidates, func(c Candidate) bool { return c.Region == q.Region })
	remote := keep(candidates, func(c Candidate) bool { return c.Region != q.Region })
	return append(local, remote...)
}
