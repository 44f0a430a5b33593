package fleet

// Target is one service of a route and its share of the requests.
type Target struct {
	Service string
	Weight  int
}
