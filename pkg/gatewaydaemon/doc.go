// Package gatewaydaemon wires the gateway, the lease and the coordinator into one daemon.
package gatewaydaemon
