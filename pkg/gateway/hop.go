package gateway

import "time"

// Hop is what the gateway states to a backend server about one attempt.
type Hop struct {
	// ServerID makes any other incarnation at the address refuse the request.
	ServerID string
	// Remaining is how long the answer is still of use; 0 when the caller stated nothing.
	Remaining time.Duration
	// Priority is the rank of the request at the server; 0 is first, negative for the server's default.
	Priority int
	// LastEventID continues a stream after this event.
	LastEventID string
}
