package fleet

// Target is one service of a route. Its share of the route's requests is proportional to its weight.
type Target struct {
	Service string
	Weight  int
}
