package cluster

import (
	"net"

	"trefoilferry.example/ferry/pkg/failure"
)

// Loopback is the address that all processes of a cluster listen on.
const Loopback = "127.0.0.1"

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
	for range n {
		l, err := net.Listen("tcp", Loopback+":0")
		if err != nil {
			return nil, failure.Wrap(failure.Internal, failure.NotRun, "no free port", err)
		}
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
