package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"

	"trefoilferry.example/ferry/pkg/failure"
)

// Loopback is the address that all processes of a cluster listen on.
const Loopback = "127.0.0.1"

// Listening ports are taken below the range of outgoing connections, which would otherwise occupy the port of a
// process while it is restarted.
const (
	firstPort = 12000
	lastPort  = 32000
	// portSlices is the number of parts of the range. A test process uses one of them, chosen by its process number, since
	// the ports of killed daemons are free until they are restarted and another process could take them.
	portSlices = 8
	// portTries bounds the search for free ports.
	portTries = 2000
)

// freeAddresses returns n distinct loopback addresses with ports that were free a moment ago.
// All ports are held until the last one is found, so that no port is returned twice.
func freeAddresses(n int) ([]string, error) {
	listeners := make([]net.Listener, 0, n)
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	addresses := make([]string, 0, n)
	const size = (lastPort - firstPort) / portSlices
	first := firstPort + os.Getpid()%portSlices*size
	for range portTries {
		if len(addresses) == n {
			return addresses, nil
		}
		address := fmt.Sprintf("%s:%d", Loopback, first+rand.IntN(size))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		listeners = append(listeners, l)
		if !reserve(address) {
			continue
		}
		addresses = append(addresses, address)
	}
	return nil, failure.New(failure.Internal, failure.NotRun, "no free port")
}

var (
	reservedMu sync.Mutex
	// reserved holds the addresses given out by this process; clusters of parallel tests must not share any.
	reserved = map[string]bool{}
)

// reserve reports whether an address is given out for the first time.
func reserve(address string) bool {
	reservedMu.Lock()
	defer reservedMu.Unlock()
	if reserved[address] {
		return false
	}
	reserved[address] = true
	return true
}
