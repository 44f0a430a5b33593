package gatewaydaemon

import (
	"errors"
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

// Guards against a connection that is closed although its request was read, or before a caller had time to send one, and
// against one that is kept for good.
func TestConnWait(t *testing.T) {
	for _, c := range []struct {
		state http.ConnState
		since time.Duration
		over  bool
	}{
		{http.StateNew, time.Second, false},
		{http.StateNew, firstRequestTime, true},
		{http.StateIdle, nextRequestTime - time.Millisecond, false},
		{http.StateIdle, nextRequestTime, true},
		{http.StateActive, time.Hour, false},
	} {
		if got := connWaitOver(c.state, c.since); got != c.over {
			t.Errorf("%v for %v: over %v, want %v", c.state, c.since, got, c.over)
		}
	}
}

// Guards against a request whose connection ends while it is read, and that is passed on or gets no response then.
func TestConnectionWithARequestStaysUsable(t *testing.T) {
	conns := newCallerConns()
	conn, caller := net.Pipe()
	defer func() { _ = caller.Close() }()
	read := func() error {
		_, err := conn.Read(make([]byte, 1))
		return err
	}
	conns.record(conn, http.StateNew)
	conns.expire(time.Now().Add(firstRequestTime))
	if err := read(); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read of a connection that waited for too long: %v, want the end of its deadline", err)
	}
	conns.record(conn, http.StateActive)
	conns.expire(time.Now().Add(time.Hour))
	go func() { _, _ = caller.Write([]byte("b")) }()
	if err := read(); err != nil {
		t.Errorf("read of the body of a request that was read before: %v, want no error", err)
	}
	if open := conns.expire(time.Now()); open != 1 {
		t.Errorf("open connections: %d, want 1", open)
	}
	conns.record(conn, http.StateClosed)
	if open := conns.expire(time.Now()); open != 0 {
		t.Errorf("open connections after the end: %d, want 0", open)
	}
}
