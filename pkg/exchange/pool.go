package exchange

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

const (
	// dialTimeout covers a handshake between regions twice; a lost opening packet is repeated only after seconds.
	dialTimeout = 250 * time.Millisecond
	// freshIdle is the idle time up to which a connection counts as fresh.
	freshIdle = 700 * time.Millisecond
	// maxIdlePerServer bounds the idle connections to one backend server.
	maxIdlePerServer = 24
)

// Pool keeps idle connections to backend servers. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn
	opened atomic.Int64
	open   atomic.Int64
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1}, idle: map[string][]*conn{}}
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// Open returns the number of connections that are open now.
func (p *Pool) Open() int64 { return p.open.Load() }

// Send makes one exchange up to the head of the answer. It sends the request at most once.
// Failures before any byte was sent have outcome NotRun, all others Unknown.
func (p *Pool) Send(ctx context.Context, address string, req *Request) (*Response, error) {
	c, err := p.get(ctx, address, req.Fresh)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	a, err := c.roundTrip(ctx, req)
	if err != nil {
		stop()
		p.closed()
		return nil, err
	}
	return &Response{
		Status: a.status, Header: a.header, Length: a.length,
		ctx: ctx, pool: p, conn: c, body: a.body, stop: stop, reusable: !a.last,
	}, nil
}

func (p *Pool) get(ctx context.Context, address string, fresh bool) (*conn, error) {
	if c := p.takeIdle(address, fresh, time.Now()); c != nil {
		return c, nil
	}
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		if ctx.Err() == context.Canceled {
			return nil, failure.Wrap(failure.ClientCancelled, failure.NotRun, "cancelled before a connection was open", err)
		}
		return nil, failure.Wrap(failure.ConnectFailed, failure.NotRun, "no connection to "+address, err)
	}
	p.opened.Add(1)
	p.open.Add(1)
	return newConn(c, address), nil
}

// takeIdle returns the idle connection that was used last, if it is usable.
func (p *Pool) takeIdle(address string, fresh bool, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[address] = list
		if c.usable(now, fresh) {
			return c
		}
		_ = c.Close()
		p.closed()
	}
	return nil
}

func (p *Pool) put(c *conn, now time.Time) {
	c.idleFrom = now
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerServer {
		_ = c.Close()
		p.closed()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes connections that were idle too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleFrom) < c.keep-keepAliveMargin {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
			p.closed()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

func (p *Pool) closed() { p.open.Add(-1) }
