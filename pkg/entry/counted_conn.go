package entry

import (
	"context"
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// countedConn counts the bytes read from and written to a control connection.
type countedConn struct {
	net.Conn
	in  prometheus.Counter
	out prometheus.Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(float64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(float64(n))
	return n, err
}

func (m *Metrics) counted(conn net.Conn) net.Conn {
	return &countedConn{Conn: conn, in: m.controlBytes.WithLabelValues("in"), out: m.controlBytes.WithLabelValues("out")}
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	metrics *Metrics
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.metrics.counted(conn), nil
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// countedDial wraps dial to count the bytes of the connections that it opens.
func (m *Metrics) countedDial(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return m.counted(conn), nil
	}
}
