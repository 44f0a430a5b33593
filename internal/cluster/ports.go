package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"

	"trefoilferry.example/ferry/pkg/failure"
)

// Loopback is the address that all processes of a cluster listen on.
const Loopback = "127.0.0.1"

// Listening ports are taken below the range of outgoing connections, which would otherwise occupy the port of a
// process while it is restarted.
const (
	firstPort = 12000
	lastPort  = 32000
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
	for range portTries {
		if len(addresses) == n {
			return addresses, nil
		}
		address := fmt.Sprintf("%s:%d", Loopback, firstPort+rand.IntN(lastPort-firstPort))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		listeners = append(listeners, l)
		addresses = append(addresses, address)
	}
	return nil, failure.New(failure.Internal, failure.NotRun, "no free port")
}
