package allowance

// Limit is a token bucket that all daemons together draw from.
type Limit struct {
	// Rate is in units a second.
	Rate float64
	// Burst is the most units that the bucket holds.
	Burst float64
}
