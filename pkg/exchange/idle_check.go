package exchange

import (
	"net"
	"syscall"
)

// openWithoutData reports whether an idle connection is open and has no bytes to read. Bytes on an idle connection
// belong to no request, so it must not be reused.
func openWithoutData(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = recvErr == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
