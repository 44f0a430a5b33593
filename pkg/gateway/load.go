package gateway

// Load is the load of a backend server as it reports it.
type Load struct {
	// Known is set when the server reported its load.
	Known   bool
	Running int
	Waiting int
	Slots   int
}
