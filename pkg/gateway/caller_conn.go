package gateway

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// callerSendBuffer bounds what the kernel keeps of responses for a caller that does not read, in bytes; it counts towards the
// memory of the host as well. The kernel doubles it. A round trip of 40 ms still allows 3 MB/s.
const callerSendBuffer = 64 << 10

// callerConn tells whether the connection to a caller takes more bytes now.
type callerConn struct{ raw syscall.RawConn }

type callerConnKey struct{}

// WithCallerConn prepares a new connection of a caller and returns the context for its requests.
func WithCallerConn(ctx context.Context, c net.Conn) context.Context {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return ctx
	}
	// Without the bound, which the platform may not allow, the kernel chooses one.
	_ = tcp.SetWriteBuffer(callerSendBuffer)
	raw, err := tcp.SyscallConn()
	if err != nil {
		// The connection is closed already.
		return ctx
	}
	return context.WithValue(ctx, callerConnKey{}, &callerConn{raw: raw})
}

// callerConnOf returns the connection of a request's caller; nil if it is not known.
func callerConnOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return c
}

// writable reports whether the kernel takes at least a third of its send buffer for the connection now. A closed connection
// counts as writable: the write tells that it is closed.
func (c *callerConn) writable() bool {
	ready := true
	err := c.raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLOUT}}
		n, err := unix.Poll(poll, 0)
		ready = err != nil || n > 0
	})
	return err != nil || ready
}
