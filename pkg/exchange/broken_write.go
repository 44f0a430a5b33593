package exchange

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// brokenWrite returns the failure that the write of the current request has met; nil if the server ended the connection in
// an orderly way. Linux reports a reset once, to a read or a write. If a write got it, reads return io.EOF, as after an orderly
// end. A reset that follows an orderly end shows as EPIPE.
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
