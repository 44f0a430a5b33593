package allowance

// Stats are totals of one allowance at a daemon, in units.
type Stats struct {
	// Asked counts requests when they first ask; one that finds a waiting request of its size is not told apart from it.
	Asked float64
	// Taken counts what requests were allowed, less what they gave back.
	Taken float64
	// Refused counts what was not taken while the holder's answer had told of a wait.
	Refused float64
	// Lapsed counts units that ran out before a request used them.
	Lapsed float64
	// Lent counts what the holders lent.
	Lent float64
}
