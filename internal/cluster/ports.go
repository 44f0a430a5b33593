package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"

	"trefoilferry.example/ferry/pkg/failure"
)

// Loopback is the address that all processes of a cluster listen on.
const Loopback = "127.0.0.1"

// Listening ports are taken below the range of outgoing connections, which would otherwise occupy the port of a
// process while it is restarted.
const (
	firstPort = 12000
	lastPort  = 32000
	// blockPorts is the size of a block of ports; a cluster of the integration tests needs about 70, of which several run at once.
	blockPorts = 1000
	blocks     = (lastPort - firstPort) / blockPorts
)

// portBlock is a block of ports that belongs to this process. Other processes that start clusters would otherwise take
// the port of a daemon while it is restarted.
type portBlock struct {
	mu sync.Mutex
	// marker listens on the first port of the block for as long as the process lives.
	marker net.Listener
	first  int
	next   int
}

var ownPorts portBlock

// freeAddresses returns n distinct loopback addresses with ports that were free a moment ago. A port is returned again
// only after all others of the block.
func freeAddresses(n int) ([]string, error) {
	return ownPorts.take(n)
}

func (b *portBlock) take(n int) ([]string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.claim(); err != nil {
		return nil, err
	}
	addresses := make([]string, 0, n)
	for range blockPorts {
		if len(addresses) == n {
			return addresses, nil
		}
		b.next = b.next%(blockPorts-1) + 1
		if address, ok := freeAddress(b.first + b.next); ok {
			addresses = append(addresses, address)
		}
	}
	return nil, failure.New(failure.Internal, failure.NotRun, "no free port")
}

// claim makes a block without another owner this process's own.
func (b *portBlock) claim() error {
	if b.marker != nil {
		return nil
	}
	for _, i := range rand.Perm(blocks) {
		first := firstPort + i*blockPorts
		if l, err := listenOn(first); err == nil {
			b.marker, b.first = l, first
			return nil
		}
	}
	return failure.New(failure.Internal, failure.NotRun, "no free block of ports")
}

// freeAddress reports whether a port is free. No process is started meanwhile: a child would keep a copy of the listener
// until it executes its program, and the port would still be in use after the return.
func freeAddress(port int) (string, bool) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := listenOn(port)
	if err != nil {
		return "", false
	}
	_ = l.Close()
	return l.Addr().String(), true
}

func listenOn(port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("%s:%d", Loopback, port))
}
