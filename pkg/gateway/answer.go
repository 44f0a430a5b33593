package gateway

// Answer is what a backend server states with its response.
type Answer struct {
	// RequestID is the id of the request that the response belongs to; empty when not stated.
	RequestID string
	// Signed is set when the response carries the signature of a backend server.
	Signed bool
	// NotRun is set when the server states that it did not run the request.
	NotRun bool
	Load   Load
}
