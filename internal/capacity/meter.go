package capacity

import (
	"net"
	"sync/atomic"
)

// meter counts the bytes and accepted connections of listeners, and the bytes of outgoing connections.
type meter struct {
	in    atomic.Int64
	out   atomic.Int64
	conns atomic.Int64
}

// totalBytes returns the bytes in both directions.
func (m *meter) totalBytes() int64 { return m.in.Load() + m.out.Load() }

// meteredListener counts its connections and their traffic in meter.
type meteredListener struct {
	net.Listener
	meter *meter
}

// Accept implements net.Listener.
func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.meter.conns.Add(1)
	return &meteredConn{Conn: conn, meter: l.meter}, nil
}

// meteredConn counts its traffic in meter.
type meteredConn struct {
	net.Conn
	meter *meter
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.out.Add(int64(n))
	return n, err
}
