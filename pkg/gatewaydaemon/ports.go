package gatewaydaemon

import (
	"trefoilferry.example/ferry/pkg/coordinator"
	"trefoilferry.example/ferry/pkg/exchange"
	"trefoilferry.example/ferry/pkg/gateway"
	"trefoilferry.example/ferry/pkg/lease"
)

// Ports are the platform's services as the daemon uses them.
type Ports struct {
	Codec   gateway.Codec
	Config  gateway.ConfigSource
	Servers gateway.ServerSource
	Lease   lease.Store
	Runners coordinator.Control
	// Pool carries all traffic to backend servers.
	Pool *exchange.Pool
}
