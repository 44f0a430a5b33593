package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// Response is the answer of a backend server. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body; -1 when the answer does not state it.
	Length int64

	ctx      context.Context
	pool     *Pool
	conn     *conn
	body     io.Reader
	stop     func() bool
	reusable bool
	complete bool
}

// Read reads the body. A body that ends before its framing says so fails with outcome Unknown.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && r.ctx.Err() == nil:
		r.complete = true
		return n, io.EOF
	default:
		return n, r.readFailure(err)
	}
}

func (r *Response) readFailure(cause error) error {
	code := failure.Truncated
	switch r.ctx.Err() {
	case nil:
	case context.Canceled:
		code = failure.ClientCancelled
	default:
		code = failure.DeadlineExpired
	}
	return failure.Wrap(code, failure.Unknown, "the answer of "+r.conn.address+" broke off", cause)
}

// Complete reports whether the whole body was read.
func (r *Response) Complete() bool { return r.complete }

// Close returns the connection to the pool if the exchange ended cleanly, and closes it otherwise.
func (r *Response) Close() {
	stopped := r.stop()
	clean := r.complete && r.reusable && stopped && r.conn.writeDone() && r.conn.reader.Buffered() == 0
	if !clean {
		_ = r.conn.Close()
		r.pool.closed()
		return
	}
	r.pool.put(r.conn, time.Now())
}
