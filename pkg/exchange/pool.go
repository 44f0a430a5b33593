package exchange

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"trefoilferry.example/ferry/pkg/bytebudget"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/verdict"
)

const (
	// dialTimeout covers two handshakes between regions; it is not longer, because a lost SYN is retransmitted only after
	// seconds.
	dialTimeout = 250 * time.Millisecond
	// maxFreshIdle is the idle time up to which a connection can be used for a request with FreshConn set.
	maxFreshIdle = 700 * time.Millisecond
	// DefaultMaxIdle bounds the idle connections to one backend server.
	DefaultMaxIdle = 24
)

// Pool keeps idle connections to backend servers. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	budget *bytebudget.Budget
	mu     sync.Mutex
	// idle holds the idle connections by address, the most recently used one last.
	idle map[string][]*conn
	// opened counts all connections, open those that are not closed yet.
	opened atomic.Int64
	open   atomic.Int64
	// skipped counts responses that belonged to no request that waited for one.
	skipped atomic.Int64
}

// defaultBudgetBytes is a quarter of the memory of the smallest entry hosts, because a buffer that grows is copied.
const defaultBudgetBytes = 46 << 20

// NewPool returns an empty pool with a budget of its own.
func NewPool() *Pool { return NewPoolWithin(bytebudget.New(defaultBudgetBytes)) }

// NewPoolWithin returns an empty pool whose responses share a budget.
func NewPoolWithin(budget *bytebudget.Budget) *Pool {
	return &Pool{dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1}, budget: budget, idle: map[string][]*conn{}}
}

// Budget returns the budget for the bytes that all responses hold.
func (p *Pool) Budget() *bytebudget.Budget { return p.budget }

// TotalOpened returns the total number of connections opened by the pool.
func (p *Pool) TotalOpened() int64 { return p.opened.Load() }

// OpenConns returns the number of connections that are currently open, idle or in use.
func (p *Pool) OpenConns() int64 { return p.open.Load() }

// TotalSkipped returns the total number of responses that did not belong to the request that waited for one.
func (p *Pool) TotalSkipped() int64 { return p.skipped.Load() }

// Send sends a request and returns its response when the head has arrived; the caller must close the response. It sends
// the request at most once. Errors are of type *failure.Failure, with outcome NotRun if no byte was written and Unknown
// otherwise.
func (p *Pool) Send(ctx context.Context, address string, req *Request) (*Response, error) {
	c, err := p.get(ctx, address, req)
	if err != nil {
		return nil, err
	}
	c.maxIdle = DefaultMaxIdle
	if req.MaxIdle > 0 {
		c.maxIdle = min(req.MaxIdle, DefaultMaxIdle)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	share := p.budget.Share()
	a, err := c.roundTrip(ctx, req, share)
	p.skipped.Add(int64(c.skipped))
	if err != nil {
		stop()
		share.Release()
		p.countClosed()
		return nil, err
	}
	return &Response{
		Status: a.status, Header: a.header, Length: a.length, Unframed: a.unframed && a.closesConn, Earlier: c.sent - 1,
		ctx: ctx, pool: p, conn: c, body: a.body, share: share, stopCancel: stop, reusable: !a.closesConn,
	}, nil
}

// get returns an idle connection or opens one.
func (p *Pool) get(ctx context.Context, address string, req *Request) (*conn, error) {
	if c := p.takeIdle(address, req, time.Now()); c != nil {
		return c, nil
	}
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		outcome := verdict.Exchange{}.Outcome()
		if ctx.Err() == context.Canceled {
			return nil, failure.Wrap(failure.ClientCancelled, outcome, "cancelled before a connection to "+address+" was open", err)
		}
		return nil, failure.Wrap(failure.ConnectFailed, outcome, "cannot connect to "+address, err)
	}
	p.opened.Add(1)
	p.open.Add(1)
	return newConn(c, address), nil
}

// Check finds out whether a process listens at the address. An idle connection that is still open shows it; otherwise it
// opens a connection, which becomes idle.
func (p *Pool) Check(ctx context.Context, address string) Listening {
	if p.hasOpenIdle(address) {
		return Listens
	}
	c, err := p.dialer.DialContext(ctx, "tcp", address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return ListensNot
	case err != nil:
		return ListensUnknown
	}
	p.opened.Add(1)
	p.open.Add(1)
	p.put(newConn(c, address), time.Now())
	return Listens
}

// hasOpenIdle reports whether an idle connection to the address is open: the end of a process closes all of them.
func (p *Pool) hasOpenIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle[address], func(c *conn) bool { return openWithoutData(c.Conn) })
}

// takeIdle returns the most recently used idle connection that is usable and may carry the request, and closes the
// unusable ones that it finds; nil if there is none.
func (p *Pool) takeIdle(address string, req *Request, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for n := len(list) - 1; n >= 0; n-- {
		c := list[n]
		if !c.mayCarry(req) {
			continue
		}
		list = slices.Delete(list, n, n+1)
		p.idle[address] = list
		if c.usable(now, req.FreshConn) {
			return c
		}
		_ = c.Close()
		p.countClosed()
	}
	return nil
}

// put makes a connection idle, or closes it if the server has c.maxIdle idle connections or more.
func (p *Pool) put(c *conn, now time.Time) {
	c.idleSince = now
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= c.maxIdle {
		_ = c.Close()
		p.countClosed()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseExpired closes connections that have been idle for longer than the server's keep-alive timeout permits.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.keepAlive-keepAliveMargin {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
			p.countClosed()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// countClosed records that a connection was closed.
func (p *Pool) countClosed() { p.open.Add(-1) }
