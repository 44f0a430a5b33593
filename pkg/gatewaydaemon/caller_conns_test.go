package gatewaydaemon

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against a request that reaches a backend server although the stop of the daemon has closed its connection
// while the request was read (LOST on two hunted days: a booking was passed on and its connection closed), and against
// a connection that is closed with a request in progress.
func TestRequestOnConnectionClosedByTheStopIsNotPassedOn(t *testing.T) {
	for _, c := range []struct {
		name   string
		states []http.ConnState
		passed bool
	}{
		{"closed while the request is read", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, false},
		{"request read before", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle, http.StateActive}, true},
		{"first request", []http.ConnState{http.StateNew, http.StateActive}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			conns := newCallerConns()
			conn, other := net.Pipe()
			defer func() { _ = other.Close() }()
			for _, state := range c.states {
				conns.record(conn, state)
			}
			if drained := conns.drain(2 * time.Second); drained == c.passed {
				t.Errorf("drained: %v, want %v", drained, !c.passed)
			}
			// The server records the state when it has read the request, also on a connection that was closed.
			conns.record(conn, http.StateActive)
			passed := false
			handler := conns.guard(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { passed = true }))
			r := httptest.NewRequest("GET", "/", nil)
			func() {
				defer func() { _ = recover() }()
				handler.ServeHTTP(httptest.NewRecorder(), r.WithContext(withConn(r.Context(), conn)))
			}()
			if passed != c.passed {
				t.Errorf("request passed on: %v, want %v", passed, c.passed)
			}
		})
	}
}
