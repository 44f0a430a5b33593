package gatewaydaemon

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns tracks callers' connections, so that a stop closes none whose request it has read. It is safe for concurrent
// use.
type callerConns struct {
	mu   sync.Mutex
	open map[net.Conn]*callerConn
}

// callerConn is the state of an open connection.
type callerConn struct {
	state http.ConnState
	since time.Time
	// expired is set once reads of the connection have been ended.
	expired bool
}

func newCallerConns() *callerConns { return &callerConns{open: map[net.Conn]*callerConn{}} }

// record is called by the HTTP server with each change of state; for an active connection, before the request is handled.
func (s *callerConns) record(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.open, c)
		return
	}
	if known := s.open[c]; known != nil && known.expired && state == http.StateActive {
		// The header was read before reads ended. The server sets no deadline for the body. An error means that the
		// connection is broken, which the read of the body reports.
		_ = c.SetReadDeadline(time.Time{})
	}
	s.open[c] = &callerConn{state: state, since: time.Now()}
}

// expire ends the reads of connections that have waited long enough for a request, which makes the server close them. Unlike
// closing them here, it leaves a request that has just been read on an open connection. The server may set a later deadline
// in the same moment, so expire is called again until no connection is left. It returns the number of connections that
// are open.
func (s *callerConns) expire(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, conn := range s.open {
		if connWaitOver(conn.state, now.Sub(conn.since)) {
			conn.expired = true
			// The caller may have closed it.
			_ = c.SetReadDeadline(past)
		}
	}
	return len(s.open)
}

// past is a read deadline that ends all reads.
var past = time.Unix(1, 0)
