package gateway

// Load is the load that a backend server reports with a response.
type Load struct {
	// Known is set if the response reports Running, Waiting and Slots.
	Known   bool
	Running int
	Waiting int
	Slots   int
	// Slowness is how long work takes at the server at this moment, by its own statement: 1 is as usual, 2 twice as long;
	// 0 if it states nothing. It may be stated without a known load.
	Slowness float64
}
