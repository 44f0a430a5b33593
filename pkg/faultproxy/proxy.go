// Package faultproxy is a TCP proxy for tests that injects network faults.
package faultproxy

import (
	"net"
	"sync"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

const (
	dialTimeout = 2 * time.Second
	// reopenAttempts and reopenInterval limit the wait for a listening port that the kernel has not released yet.
	reopenAttempts = 50
	reopenInterval = 10 * time.Millisecond
)

// Proxy forwards TCP connections to one target. It is safe for concurrent use and must be closed.
type Proxy struct {
	address string
	target  string
	gate    *gate
	running sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener
	closed   bool
	faults   Faults
	open     map[*connPair]struct{}
	total    int
}

// New listens on an address, whose port may be 0, and forwards connections to target. Errors have code Internal.
func New(listen, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, failure.Wrap(failure.Internal, failure.NotRun, "cannot listen on "+listen, err)
	}
	p := &Proxy{address: listener.Addr().String(), target: target, gate: newGate(), open: map[*connPair]struct{}{}}
	p.serve(listener)
	return p, nil
}

// Addr returns the address that the proxy listens on; it stays the same while connections are refused.
func (p *Proxy) Addr() string {
	return p.address
}

// SetFaults replaces all switches. It fails with code Internal if the port cannot be reopened after Refuse.
func (p *Proxy) SetFaults(f Faults) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.gate.set(f)
	if p.closed {
		return nil
	}
	if f.Refuse {
		p.closeListener()
		return nil
	}
	if p.listener != nil {
		return nil
	}
	return p.reopenListener()
}

// Faults returns the switches; counts show the uses that remain.
func (p *Proxy) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// ResetConnections resets all open connections and returns how many there were.
func (p *Proxy) ResetConnections() int {
	p.mu.Lock()
	pairs := make([]*connPair, 0, len(p.open))
	for c := range p.open {
		pairs = append(pairs, c)
	}
	p.mu.Unlock()
	for _, c := range pairs {
		c.reset()
	}
	return len(pairs)
}

// TotalConnections returns the number of connections accepted so far.
func (p *Proxy) TotalConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// OpenConnections returns the number of connections open now.
func (p *Proxy) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open)
}

// Close stops listening, resets all connections and waits until their goroutines have ended.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.closeListener()
	p.mu.Unlock()
	p.ResetConnections()
	p.running.Wait()
}

func (p *Proxy) closeListener() {
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

func (p *Proxy) reopenListener() error {
	var listener net.Listener
	var err error
	for range reopenAttempts {
		listener, err = net.Listen("tcp", p.address)
		if err == nil {
			p.serve(listener)
			return nil
		}
		time.Sleep(reopenInterval)
	}
	return failure.Wrap(failure.Internal, failure.NotRun, "cannot reopen the listener on "+p.address, err)
}

// serve accepts and forwards connections in the background until the listener is closed. The caller must hold p.mu,
// except in New.
func (p *Proxy) serve(listener net.Listener) {
	p.listener = listener
	p.running.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			p.running.Go(func() { p.forward(client) })
		}
	})
}

func (p *Proxy) forward(client net.Conn) {
	c := p.register(client)
	if c == nil {
		_ = client.Close()
		return
	}
	defer p.unregister(c)
	server, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		c.reset()
		return
	}
	c.run(server)
}

// register adds a connection to the open ones; it returns nil if the proxy is closed.
func (p *Proxy) register(client net.Conn) *connPair {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	c := newConnPair(client, p.gate)
	c.resetAfterBytes = p.takeReset()
	c.delay = func() time.Duration { return time.Duration(p.Faults().DelayMillis) * time.Millisecond }
	p.open[c] = struct{}{}
	p.total++
	return c
}

// takeReset returns the number of bytes after which the next connection must be reset, and counts that connection in
// Resets. 0 means never. The caller must hold p.mu.
func (p *Proxy) takeReset() int {
	after := p.faults.ResetAfterBytes
	if after > 0 && p.faults.Resets > 0 {
		p.faults.Resets--
		if p.faults.Resets == 0 {
			p.faults.ResetAfterBytes = 0
		}
	}
	return after
}

func (p *Proxy) unregister(c *connPair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}
