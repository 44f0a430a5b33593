package gatewaydaemon

import (
	"trefoilferry.example/ferry/pkg/coordinator"
	"trefoilferry.example/ferry/pkg/exchange"
	"trefoilferry.example/ferry/pkg/gateway"
	"trefoilferry.example/ferry/pkg/lease"
)

// Clients gives the daemon access to the platform: the codec of its headers and the clients of its services.
type Clients struct {
	Codec   gateway.Codec
	Monitor Monitor
	Config  gateway.ConfigSource
	Servers gateway.ServerSource
	Lease   lease.Store
	Runners coordinator.RunnerClient
	// Pool carries all traffic to backend servers.
	Pool *exchange.Pool
}
