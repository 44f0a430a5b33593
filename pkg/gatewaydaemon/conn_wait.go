package gatewaydaemon

import (
	"net/http"
	"time"
)

const (
	// firstRequestTime is how long a new connection is kept for its first request once the daemon accepts no more. Callers
	// that opened it just before then get a refusal instead of a closed connection.
	firstRequestTime = 1500 * time.Millisecond
	// nextRequestTime is how long a connection is kept for another request after a response that did not announce its end.
	// It covers the way of that response to the caller and of the next request back.
	nextRequestTime = 250 * time.Millisecond
)

// connWaitOver reports whether a connection that has been in a state for the given time is closed by a daemon that accepts
// no more connections. One with a request in progress stays open.
func connWaitOver(state http.ConnState, since time.Duration) bool {
	switch state {
	case http.StateNew:
		return since >= firstRequestTime
	case http.StateIdle:
		return since >= nextRequestTime
	default:
		return false
	}
}
