// Package faultproxy is a small TCP proxy with fault switches, for tests.
package faultproxy

import (
	"net"
	"sync"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

const (
	dialTimeout = 2 * time.Second
	// relistenTries and relistenWait bound the wait for a port that the kernel has not released yet.
	relistenTries = 50
	relistenWait  = 10 * time.Millisecond
)

// Proxy forwards TCP connections to one target. It is safe for concurrent use and must be closed.
type Proxy struct {
	address string
	target  string
	gate    *gate
	done    sync.WaitGroup

	mu       sync.Mutex
	listener net.Listener
	closed   bool
	faults   Faults
	open     map[*pair]struct{}
	total    int
}

// New listens on an address, port 0 allowed, and forwards to target. Failures have code Internal.
func New(listen, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, failure.Wrap(failure.Internal, failure.NotRun, "cannot listen on "+listen, err)
	}
	p := &Proxy{address: listener.Addr().String(), target: target, gate: newGate(), open: map[*pair]struct{}{}}
	p.serve(listener)
	return p, nil
}

// Addr returns the address that the proxy listens on; it stays the same while connections are refused.
func (p *Proxy) Addr() string {
	return p.address
}

// Set replaces all switches. It fails with code Internal when the port cannot be opened again after Refuse.
func (p *Proxy) Set(f Faults) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.gate.set(f)
	if p.closed {
		return nil
	}
	if f.Refuse {
		p.unlisten()
		return nil
	}
	if p.listener != nil {
		return nil
	}
	return p.relisten()
}

// Faults returns the switches with what is left of their counts.
func (p *Proxy) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Cut resets all open connections and returns their number.
func (p *Proxy) Cut() int {
	p.mu.Lock()
	pairs := make([]*pair, 0, len(p.open))
	for c := range p.open {
		pairs = append(pairs, c)
	}
	p.mu.Unlock()
	for _, c := range pairs {
		c.reset()
	}
	return len(pairs)
}

// Total returns the number of connections accepted so far.
func (p *Proxy) Total() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// Open returns the number of connections open now.
func (p *Proxy) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open)
}

// Close stops listening, resets all connections and waits for their end.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.unlisten()
	p.mu.Unlock()
	p.Cut()
	p.done.Wait()
}

func (p *Proxy) unlisten() {
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
}

func (p *Proxy) relisten() error {
	var listener net.Listener
	var err error
	for range relistenTries {
		listener, err = net.Listen("tcp", p.address)
		if err == nil {
			p.serve(listener)
			return nil
		}
		time.Sleep(relistenWait)
	}
	return failure.Wrap(failure.Internal, failure.NotRun, "cannot listen again on "+p.address, err)
}

// serve accepts connections until the listener is closed.
func (p *Proxy) serve(listener net.Listener) {
	p.listener = listener
	p.done.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			p.done.Go(func() { p.forward(client) })
		}
	})
}

func (p *Proxy) forward(client net.Conn) {
	c := p.enter(client)
	if c == nil {
		_ = client.Close()
		return
	}
	defer p.leave(c)
	server, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		c.reset()
		return
	}
	c.run(server)
}

// enter counts a connection; it returns nil once the proxy is closed.
func (p *Proxy) enter(client net.Conn) *pair {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	c := newPair(client, p.gate)
	c.resetAfter = p.takeReset()
	c.delay = func() time.Duration { return time.Duration(p.Faults().DelayMillis) * time.Millisecond }
	p.open[c] = struct{}{}
	p.total++
	return c
}

// takeReset returns the bytes after which the next connection is reset; 0 means never.
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

func (p *Proxy) leave(c *pair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}
