package gatewaydaemon

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// connStates counts callers' connections by their state. It is safe for concurrent use.
type connStates struct {
	mu sync.Mutex
	// open holds the state of each open connection.
	open map[net.Conn]http.ConnState
}

func newConnStates() *connStates { return &connStates{open: map[net.Conn]http.ConnState{}} }

// record is called by the HTTP server with each change of state.
func (s *connStates) record(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.open, c)
		return
	}
	s.open[c] = state
}

// count returns the number of connections in a state.
func (s *connStates) count(state http.ConnState) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, st := range s.open {
		if st == state {
			n++
		}
	}
	return n
}

// firstRequestTime is how long a connection that was just accepted is kept for its first request after new ones are no
// longer accepted.
const firstRequestTime = time.Second

// drained reports whether no request is in progress or expected, so long after the last connection was accepted.
func (s *connStates) drained(sinceAccept time.Duration) bool {
	return s.count(http.StateActive) == 0 && (s.count(http.StateNew) == 0 || sinceAccept >= firstRequestTime)
}
