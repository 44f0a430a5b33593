package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"

	"trefoilferry.example/ferry/pkg/failure"
)

// Loopback is the IP address that all processes of a cluster listen on.
const Loopback = "127.0.0.1"

// Listening ports lie below the port range of outgoing connections. Otherwise an outgoing connection could occupy the
// port of a process while it restarts.
const (
	firstPort = 12000
	lastPort  = 32000
	// blockPorts is the number of ports in a block. A cluster of the integration tests needs about 70 ports, and several
	// clusters run at once.
	blockPorts = 1000
	blocks     = (lastPort - firstPort) / blockPorts
)

// portBlock is a block of ports reserved for this process. Without the reservation, another process that starts clusters
// could take the port of a daemon while it restarts.
type portBlock struct {
	mu sync.Mutex
	// reservation listens on the first port of the block for the lifetime of the process; nil before the first use.
	reservation net.Listener
	first       int
	next        int
}

var processPorts portBlock

// freeAddresses returns n distinct loopback addresses whose ports were free when checked. The ports of the block are used
// in rotation, so a port is not returned again before all others.
func freeAddresses(n int) ([]string, error) {
	return processPorts.allocate(n)
}

func (b *portBlock) allocate(n int) ([]string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.reserve(); err != nil {
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
	return nil, failure.New(failure.Internal, failure.NotRun, fmt.Sprintf("no free ports in the block at %d: found %d, want %d", b.first, len(addresses), n))
}

// reserve reserves a block that no other process holds by listening on its first port. Further calls do nothing.
func (b *portBlock) reserve() error {
	if b.reservation != nil {
		return nil
	}
	for _, i := range rand.Perm(blocks) {
		first := firstPort + i*blockPorts
		if l, err := listenOn(first); err == nil {
			b.reservation, b.first = l, first
			return nil
		}
	}
	return failure.New(failure.Internal, failure.NotRun, fmt.Sprintf("cannot reserve any of %d port blocks from %d to %d", blocks, firstPort, lastPort))
}

// freeAddress returns the loopback address of a port, and whether the port is free. It holds syscall.ForkLock so that no
// child process starts during the check: the child would inherit the listener until it executes its program, and the port
// would still be in use after the return.
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
