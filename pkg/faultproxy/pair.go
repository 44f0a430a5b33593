package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes is the size of the read buffer.
	chunkBytes = 16 << 10
	// chunksInFlight is the number of chunks per direction that can be buffered during their delay.
	chunksInFlight = 256
)

// chunk is data read from one side, to be written to the other side at due. A chunk with nil data is the end of the
// stream, with the read error in err.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// connPair is one forwarded connection: the client's connection and the one to the target.
type connPair struct {
	gate            *gate
	delay           func() time.Duration
	resetAfterBytes int

	done      chan struct{}
	closeOnce sync.Once

	mu     sync.Mutex
	client net.Conn
	server net.Conn
}

func newConnPair(client net.Conn, g *gate) *connPair {
	return &connPair{gate: g, client: client, done: make(chan struct{})}
}

// run forwards data in both directions until both have ended or the pair is reset.
func (c *connPair) run(server net.Conn) {
	if !c.attach(server) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { c.pump(toTarget, c.client, server) })
	both.Go(func() { c.pump(toClient, server, c.client) })
	both.Wait()
	c.close(false)
}

// attach adds the connection to the target. If the pair has been reset already, it closes server and returns false.
func (c *connPair) attach(server net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.done:
		_ = server.Close()
		return false
	default:
		c.server = server
		return true
	}
}

// reset closes both connections with a TCP reset.
func (c *connPair) reset() {
	c.close(true)
}

// close closes both connections once, with a TCP reset if abortive.
func (c *connPair) close(abortive bool) {
	c.closeOnce.Do(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		close(c.done)
		for _, conn := range []net.Conn{c.client, c.server} {
			if conn == nil {
				continue
			}
			if tcp, ok := conn.(*net.TCPConn); ok && abortive {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
	})
}

// pump forwards one direction. Separate goroutines read and write, so that a delay does not limit the throughput.
func (c *connPair) pump(d direction, from, to net.Conn) {
	chunks := make(chan chunk, chunksInFlight)
	var reading sync.WaitGroup
	reading.Go(func() { c.read(from, chunks) })
	c.write(d, to, chunks)
	reading.Wait()
}

func (c *connPair) read(from net.Conn, chunks chan<- chunk) {
	for {
		data := make([]byte, chunkBytes)
		n, err := from.Read(data)
		if n > 0 && !c.enqueue(chunks, chunk{data: data[:n], due: time.Now().Add(c.delay())}) {
			return
		}
		if err != nil {
			c.enqueue(chunks, chunk{err: err, due: time.Now().Add(c.delay())})
			return
		}
	}
}

func (c *connPair) enqueue(chunks chan<- chunk, next chunk) bool {
	select {
	case chunks <- next:
		return true
	case <-c.done:
		return false
	}
}

func (c *connPair) write(d direction, to net.Conn, chunks <-chan chunk) {
	sent := 0
	for {
		next, ok := c.dequeue(chunks)
		if !ok || !c.gate.waitOpen(d, c.done) {
			return
		}
		if next.data == nil {
			c.forwardEnd(to, next.err)
			return
		}
		limit := c.writableBytes(d, sent, len(next.data))
		if _, err := to.Write(next.data[:limit]); err != nil {
			c.reset()
			return
		}
		sent += limit
		if d == toClient && c.resetAfterBytes > 0 && sent >= c.resetAfterBytes {
			c.reset()
			return
		}
	}
}

// writableBytes returns how many of the next length bytes can be written before the connection is to be reset.
func (c *connPair) writableBytes(d direction, sent, length int) int {
	if d != toClient || c.resetAfterBytes <= 0 {
		return length
	}
	return min(length, c.resetAfterBytes-sent)
}

// dequeue waits for the next chunk and until it is due; it returns false if the pair is closed first.
func (c *connPair) dequeue(chunks <-chan chunk) (chunk, bool) {
	var next chunk
	select {
	case next = <-chunks:
	case <-c.done:
		return chunk{}, false
	}
	wait := time.Until(next.due)
	if wait <= 0 {
		return next, true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return next, true
	case <-c.done:
		return chunk{}, false
	}
}

// forwardEnd closes the write side of to after a clean end of the stream (io.EOF), and resets the pair after any other
// error.
func (c *connPair) forwardEnd(to net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if !errors.Is(err, io.EOF) || !ok {
		c.reset()
		return
	}
	_ = tcp.CloseWrite()
}
