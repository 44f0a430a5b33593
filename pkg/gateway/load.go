package gateway

// Load is the load that a backend server reports with a response.
type Load struct {
	// Known is set if the response reports a load.
	Known   bool
	Running int
	Waiting int
	Slots   int
}
