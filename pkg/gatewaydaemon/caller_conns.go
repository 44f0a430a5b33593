package gatewaydaemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns tracks callers' connections, so that a stop closes none whose request is passed on. It is safe for
// concurrent use.
type callerConns struct {
	mu sync.Mutex
	// open holds the state of each connection that is not closed.
	open map[net.Conn]http.ConnState
}

func newCallerConns() *callerConns { return &callerConns{open: map[net.Conn]http.ConnState{}} }

// record is called by the HTTP server with each change of state. A connection that closeIdle has closed stays closed.
func (s *callerConns) record(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch _, known := s.open[c]; {
	case state == http.StateClosed || state == http.StateHijacked:
		delete(s.open, c)
	case known || state == http.StateNew:
		s.open[c] = state
	}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// guard returns a handler that passes on requests only from connections that are open: the request on a connection
// that is closed while the request is read must not reach a backend server.
func (s *callerConns) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok && !s.isOpen(c) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (s *callerConns) isOpen(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.open[c]
	return ok
}

// close closes the connections in the given states.
func (s *callerConns) close(states ...http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, state := range s.open {
		for _, wanted := range states {
			if state == wanted {
				delete(s.open, c)
				// The caller may have closed it as well.
				_ = c.Close()
			}
		}
	}
}

// count returns the number of connections in a state.
func (s *callerConns) count(state http.ConnState) int {
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

// drain closes idle connections, and reports whether no request is in progress or expected, so long after the last
// connection was accepted.
func (s *callerConns) drain(sinceAccept time.Duration) bool {
	s.close(http.StateIdle)
	if sinceAccept >= firstRequestTime {
		s.close(http.StateNew)
	}
	return s.count(http.StateActive)+s.count(http.StateNew)+s.count(http.StateIdle) == 0
}
