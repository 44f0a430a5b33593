package exchange

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"trefoilferry.example/ferry/pkg/bytebudget"
	"trefoilferry.example/ferry/pkg/failure"
)

// Response is the response of a backend server. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes; -1 if the response does not state it.
	Length int64
	// Unframed is set if only the end of the connection ends the body: a server that crashes may end it the same way. A
	// response to HEAD states no length either, but leaves the connection open.
	Unframed bool
	// Earlier is the number of requests that the connection carried before this one.
	Earlier int

	ctx  context.Context
	pool *Pool
	conn *conn
	body io.Reader
	// share is what the response holds of the pool's budget; Close releases it unless it was detached.
	share    *bytebudget.Share
	detached bool
	// stopCancel detaches the connection from the cancellation of ctx; it returns false if ctx has already ended.
	stopCancel func() bool
	// reusable is set if the server keeps the connection open after the response.
	reusable bool
	// complete is set once the body has been read to its end.
	complete bool
}

// Read reads the body. A body that is cut off before its end fails with outcome Unknown.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && r.ctx.Err() == nil:
		if cause := r.brokenEnd(); cause != nil {
			return n, r.readFailure(cause)
		}
		r.complete = true
		return n, io.EOF
	default:
		return n, r.readFailure(err)
	}
}

// brokenEnd returns why the end of the connection does not end the body; nil if it does or need not.
func (r *Response) brokenEnd() error {
	if !r.Unframed {
		return nil
	}
	return r.conn.brokenWrite()
}

func (r *Response) readFailure(cause error) error {
	code := failure.Truncated
	switch r.ctx.Err() {
	case nil:
	case context.Canceled:
		code = failure.ClientCancelled
	default:
		code = failure.DeadlineExceeded
	}
	return failure.Wrap(code, failure.Unknown, "the response of "+r.conn.address+" was cut off", cause)
}

// ReadAll reads the whole body, which counts towards the budget of the pool until Close, or until the release of what Detach
// returns. It fails with code BodyTooLarge for a body that is longer than limit bytes or exceeds the budget.
func (r *Response) ReadAll(limit int64) ([]byte, error) { return r.share.ReadAll(r, limit) }

// Hold makes the response count with size bytes beside its head, for a reader that keeps a part of the body.
func (r *Response) Hold(size int64) error { return r.share.Hold(size) }

// Detach returns what the response holds of the budget for a caller that keeps it beyond Close and releases it then.
func (r *Response) Detach() *bytebudget.Share {
	r.detached = true
	return r.share
}

// Drain reads the body of a response that nobody needs, so that the connection can be reused, if it has at most limit bytes and
// they arrive within the given time. Otherwise Close closes the connection.
func (r *Response) Drain(limit int64, within time.Duration) {
	if r.Length < 0 || r.Length > limit {
		return
	}
	// A failed call or read leaves the body incomplete, which Close goes by.
	_ = r.conn.SetReadDeadline(time.Now().Add(within))
	_, _ = io.Copy(io.Discard, r)
	_ = r.conn.SetReadDeadline(time.Time{})
}

// Complete reports whether the body has been read to its end.
func (r *Response) Complete() bool { return r.complete }

// Close returns the connection to the pool if the request was written and the response read completely; otherwise it
// closes the connection.
func (r *Response) Close() {
	if !r.detached {
		r.share.Release()
	}
	stopped := r.stopCancel()
	clean := r.complete && r.reusable && stopped && r.conn.requestWritten() && r.conn.reader.Buffered() == 0
	if !clean {
		_ = r.conn.Close()
		r.pool.countClosed()
		return
	}
	r.pool.put(r.conn, time.Now())
}
