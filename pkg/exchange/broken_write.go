package exchange

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// brokenWrite returns the failure that the write of the current request has met; nil if there is none, or if the server ended
// the connection in an orderly way before. Linux reports a reset once, to a read or to a write. If a write got it, reads
// return io.EOF, as after an orderly end. A write after an orderly end fails with EPIPE.
//
// The server has ended the connection when this is called, so a write in progress is of no use and is ended.
func (c *conn) brokenWrite() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	<-c.written
	if errors.Is(c.writeErr, syscall.EPIPE) || errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return nil
	}
	return c.writeErr
}
