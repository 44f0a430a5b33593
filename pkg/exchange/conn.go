package exchange

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

const (
	// readBuffer holds the head of a usual answer, in bytes.
	readBuffer = 4096
	// inlineWrite is the largest request in bytes that is written before its answer is read. It fits into the
	// smallest socket buffers, so that the write does not wait for a server that answers early.
	inlineWrite = 8192
	// strayAnswers bounds the answers of earlier requests that are skipped on one connection.
	strayAnswers = 2
	// defaultKeepAlive is assumed for servers that do not state how long they keep idle connections.
	defaultKeepAlive = 5 * time.Second
	// keepAliveMargin is the part of the stated time that is left unused, so that a close rarely crosses a request.
	keepAliveMargin = time.Second
)

// conn is one connection to a backend server; it carries one request at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// written is closed once the current request is written or its write has failed.
	written  chan struct{}
	writeErr error
	sent     int
	keep     time.Duration
	idleFrom time.Time
}

func newConn(c net.Conn, address string) *conn {
	return &conn{Conn: c, address: address, reader: bufio.NewReaderSize(c, readBuffer), keep: defaultKeepAlive}
}

// roundTrip sends the request and reads the head of its answer. The deadline of ctx bounds both.
func (c *conn) roundTrip(ctx context.Context, req *Request) (*answer, error) {
	c.send(req.encode())
	for range strayAnswers + 1 {
		a, err := c.readHead(req.Method)
		if err != nil {
			return nil, c.classify(ctx, err)
		}
		if req.Owns == nil || req.Owns(a.header) {
			c.noteKeepAlive(a.header)
			return a, nil
		}
		if a.length < 0 && a.last {
			break
		}
		if err := discard(a.body); err != nil {
			return nil, c.classify(ctx, err)
		}
	}
	return nil, failure.New(failure.FrameMismatch, failure.Unknown, "the answer belongs to another request")
}

// readHead reads an answer head and skips informational ones.
func (c *conn) readHead(method string) (*answer, error) {
	for {
		//nolint:bodyclose // The body reads from the connection, whose owner closes or reuses it.
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return newAnswer(resp), nil
		}
	}
}

// send writes small requests at once and larger ones beside the read of the answer.
func (c *conn) send(data []byte) {
	c.written = make(chan struct{})
	write := func() {
		c.sent, c.writeErr = c.Write(data)
		close(c.written)
	}
	if len(data) <= inlineWrite {
		write()
		return
	}
	go write()
}

// classify turns a failed exchange into a failure. Nothing ran if no byte was accepted by the network.
func (c *conn) classify(ctx context.Context, cause error) error {
	_ = c.Close()
	<-c.written
	code, outcome := failure.ConnectionLost, failure.Unknown
	if c.writeErr != nil && c.sent == 0 {
		code, outcome = failure.ConnectFailed, failure.NotRun
	}
	switch ctx.Err() {
	case nil:
	case context.Canceled:
		code = failure.ClientCancelled
	default:
		code = failure.DeadlineExpired
	}
	return failure.Wrap(code, outcome, "no answer from "+c.address, cause)
}

// noteKeepAlive keeps the idle time that the server states.
func (c *conn) noteKeepAlive(header http.Header) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.keep = time.Duration(seconds) * time.Second
		}
	}
}

// writeDone reports whether the whole request is written.
func (c *conn) writeDone() bool {
	select {
	case <-c.written:
		return c.writeErr == nil
	default:
		return false
	}
}

// usable reports whether the idle connection may carry another request now.
func (c *conn) usable(now time.Time, fresh bool) bool {
	idle := now.Sub(c.idleFrom)
	limit := c.keep - keepAliveMargin
	if fresh {
		limit = min(limit, freshIdle)
	}
	return idle < limit && quiet(c.Conn)
}
