package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	chunkBytes = 16 << 10
	// chunksInFlight bounds the bytes that wait for their delay.
	chunksInFlight = 256
)

// chunk is a piece of the stream that is due at a time. A nil data is the end of the stream with its cause.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// pair is one forwarded connection.
type pair struct {
	gate       *gate
	delay      func() time.Duration
	resetAfter int

	done  chan struct{}
	ended sync.Once

	mu     sync.Mutex
	client net.Conn
	server net.Conn
}

func newPair(client net.Conn, g *gate) *pair {
	return &pair{gate: g, client: client, done: make(chan struct{})}
}

// run forwards both directions until both have ended or the pair is reset.
func (c *pair) run(server net.Conn) {
	if !c.attach(server) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { c.pump(toTarget, c.client, server) })
	both.Go(func() { c.pump(toClient, server, c.client) })
	both.Wait()
	c.close(false)
}

// attach adds the connection to the target; it returns false when the pair was reset before.
func (c *pair) attach(server net.Conn) bool {
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

// reset closes both sides with a TCP reset.
func (c *pair) reset() {
	c.close(true)
}

func (c *pair) close(hard bool) {
	c.ended.Do(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		close(c.done)
		for _, conn := range []net.Conn{c.client, c.server} {
			if conn == nil {
				continue
			}
			if tcp, ok := conn.(*net.TCPConn); ok && hard {
				_ = tcp.SetLinger(0)
			}
			_ = conn.Close()
		}
	})
}

// pump forwards one direction. Reading and writing are apart, so that a delay does not bound the rate.
func (c *pair) pump(d direction, from, to net.Conn) {
	chunks := make(chan chunk, chunksInFlight)
	var reading sync.WaitGroup
	reading.Go(func() { c.read(from, chunks) })
	c.write(d, to, chunks)
	reading.Wait()
}

func (c *pair) read(from net.Conn, chunks chan<- chunk) {
	for {
		data := make([]byte, chunkBytes)
		n, err := from.Read(data)
		if n > 0 && !c.push(chunks, chunk{data: data[:n], due: time.Now().Add(c.delay())}) {
			return
		}
		if err != nil {
			c.push(chunks, chunk{err: err, due: time.Now().Add(c.delay())})
			return
		}
	}
}

func (c *pair) push(chunks chan<- chunk, next chunk) bool {
	select {
	case chunks <- next:
		return true
	case <-c.done:
		return false
	}
}

func (c *pair) write(d direction, to net.Conn, chunks <-chan chunk) {
	sent := 0
	for {
		next, ok := c.pull(chunks)
		if !ok || !c.gate.pass(d, c.done) {
			return
		}
		if next.data == nil {
			c.end(to, next.err)
			return
		}
		limit := c.limit(d, sent, len(next.data))
		if _, err := to.Write(next.data[:limit]); err != nil {
			c.reset()
			return
		}
		sent += limit
		if d == toClient && c.resetAfter > 0 && sent >= c.resetAfter {
			c.reset()
			return
		}
	}
}

// limit returns how many of the next bytes may pass before a reset.
func (c *pair) limit(d direction, sent, length int) int {
	if d != toClient || c.resetAfter <= 0 {
		return length
	}
	return min(length, c.resetAfter-sent)
}

// pull returns the next chunk once it is due.
func (c *pair) pull(chunks <-chan chunk) (chunk, bool) {
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

// end passes on the end of a direction: a half-close after a clean end, else a reset of the pair.
func (c *pair) end(to net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if !errors.Is(err, io.EOF) || !ok {
		c.reset()
		return
	}
	_ = tcp.CloseWrite()
}
