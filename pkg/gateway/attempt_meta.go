package gateway

import "time"

// AttemptMeta is the metadata that the gateway sends to a backend server with one attempt.
type AttemptMeta struct {
	// ServerID is the incarnation that the request is for; another one at the same address refuses it.
	ServerID string
	// Remaining is the time until the deadline of the request; 0 without a deadline.
	Remaining time.Duration
	// Priority orders requests at the server; 0 is the most urgent, negative means the server's default.
	Priority int
	// LastEventID asks the server to resume a stream after this event; empty for a new stream.
	LastEventID string
	// Workspace is the name of the caller's workspace; empty for none.
	Workspace string
	// WithholdKey is set if callers show keys, which no server may see.
	WithholdKey bool
}
