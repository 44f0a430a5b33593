package exchange

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"trefoilferry.example/ferry/pkg/bytebudget"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/httpvalid"
	"trefoilferry.example/ferry/pkg/verdict"
)

const (
	// readBufferBytes is enough for the head of a usual response.
	readBufferBytes = 4096
	// maxSyncWriteBytes is the largest request that is written completely before its response is read. It fits into the
	// smallest socket buffers, so that the write does not block if the server responds before it has read the request.
	maxSyncWriteBytes = 8192
	// maxInterimResponses bounds the informational responses before a response.
	maxInterimResponses = 8
	// maxStaleResponses bounds the responses to earlier requests that are skipped before the response to a request.
	maxStaleResponses = 2
	// defaultKeepAlive is the keep-alive timeout assumed for servers that send none.
	defaultKeepAlive = 5 * time.Second
	// keepAliveMargin is subtracted from the keep-alive timeout, so that a request is rarely sent while the server closes
	// the connection.
	keepAliveMargin = time.Second
)

// conn is one connection to a backend server; it carries one request at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// head bounds what reader reads while the head of a response is due.
	head *headLimiter
	// written is closed once the current request is written or its write has failed.
	written      chan struct{}
	writeErr     error
	bytesWritten int
	// keepAlive is how long the server keeps the connection open while it is idle.
	keepAlive time.Duration
	idleSince time.Time
	// maxIdle bounds the idle connections to the server, this one included.
	maxIdle int
	// sent counts the requests that the connection has carried, the current one included.
	sent int
	// skipped counts the responses to other requests that were skipped while the current one waited for its response.
	skipped int
	// carried holds the ids of the requests with one.
	carried carriedIDs
}

func newConn(c net.Conn, address string) *conn {
	head := &headLimiter{in: c}
	return &conn{Conn: c, address: address, reader: bufio.NewReaderSize(head, readBufferBytes), head: head, keepAlive: defaultKeepAlive, maxIdle: DefaultMaxIdle}
}

// roundTrip sends the request and reads the head of its response into the share, skipping responses to earlier requests.
// ctx bounds both.
func (c *conn) roundTrip(ctx context.Context, req *Request, share *bytebudget.Share) (*responseHead, error) {
	c.sent++
	c.skipped = 0
	if req.ID != "" {
		c.carried.add(req.ID)
	}
	c.send(req)
	for range maxStaleResponses + 1 {
		a, err := c.readHead(req.Method, share)
		if err != nil {
			return nil, c.classify(ctx, err)
		}
		if c.accepts(req, a) {
			share.Keep()
			c.recordKeepAlive(a.header)
			a.closesConn = a.closesConn || req.SingleUse || c.carried.full()
			return a, nil
		}
		c.skipped++
		if a.length < 0 && a.closesConn {
			break
		}
		if err := discardBody(a.body); err != nil {
			return nil, c.classify(ctx, err)
		}
	}
	return nil, c.classify(ctx, failure.New(failure.FrameMismatch, failure.Unknown, "the response from "+c.address+" belongs to another request"))
}

// readHead reads a response head and skips informational (1xx) responses, of which there may be maxInterimResponses. It reads
// at most about maxHeadBytes.
func (c *conn) readHead(method string, share *bytebudget.Share) (*responseHead, error) {
	c.head.begin(share)
	defer c.head.end()
	for range maxInterimResponses + 1 {
		// Peek does not fail for what is buffered.
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		if err := c.head.expect(buffered); err != nil {
			return nil, err
		}
		//nolint:bodyclose // The body is read from the connection, whose owner closes or reuses it.
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := httpvalid.CheckResponse(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return newResponseHead(resp), nil
		}
	}
	return nil, failure.New(failure.FrameMismatch, failure.Unknown, "more than "+strconv.Itoa(maxInterimResponses)+" informational responses come before the response")
}

// send writes a small request before it returns. A larger one is written in the background while its response is read, from
// the body itself: a copy would double what the process holds for a server that reads slowly.
func (c *conn) send(req *Request) {
	c.written = make(chan struct{})
	if req.Sending != nil {
		req.Sending()
	}
	head := req.encodeHead()
	if len(head)+len(req.Body) <= maxSyncWriteBytes {
		c.bytesWritten, c.writeErr = c.Write(append(head, req.Body...))
		close(c.written)
		return
	}
	go func() {
		defer close(c.written)
		parts := net.Buffers{head, req.Body}
		n, err := parts.WriteTo(c.Conn)
		c.bytesWritten, c.writeErr = int(n), err
	}()
}

// classify closes the connection and returns the failure for a failed exchange.
func (c *conn) classify(ctx context.Context, cause error) error {
	_ = c.Close()
	<-c.written
	code, outcome := failure.ConnectionLost, verdict.Exchange{Connected: true, WriteFailed: c.writeErr != nil, Written: c.bytesWritten}.Outcome()
	if failure.HasCode(cause, failure.FrameMismatch) {
		code = failure.FrameMismatch
	}
	if outcome == failure.NotRun {
		code = failure.ConnectFailed
	}
	switch ctx.Err() {
	case nil:
	case context.Canceled:
		code = failure.ClientCancelled
	default:
		code = failure.DeadlineExceeded
	}
	return failure.Wrap(code, outcome, "no response from "+c.address, cause)
}

// recordKeepAlive records the timeout that the server sends in its Keep-Alive header.
func (c *conn) recordKeepAlive(header http.Header) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.keepAlive = time.Duration(seconds) * time.Second
		}
	}
}

// requestWritten reports whether the whole request has been written.
func (c *conn) requestWritten() bool {
	select {
	case <-c.written:
		return c.writeErr == nil
	default:
		return false
	}
}

// mayCarry reports whether the responses to a request can be told from those to the earlier requests on the connection.
func (c *conn) mayCarry(req *Request) bool {
	if (req.UnusedConn || req.SingleUse) && c.sent > 0 {
		return false
	}
	return req.ID == "" || !c.carried.contains(req.ID)
}

// usable reports whether the idle connection can carry another request. With fresh set, it must have been idle for less
// than maxFreshIdle.
func (c *conn) usable(now time.Time, fresh bool) bool {
	idle := now.Sub(c.idleSince)
	limit := c.keepAlive - keepAliveMargin
	if fresh {
		limit = min(limit, maxFreshIdle)
	}
	return idle < limit && openWithoutData(c.Conn)
}
