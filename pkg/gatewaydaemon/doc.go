// Package gatewaydaemon assembles the gateway, the lease and the coordinator into one daemon.
package gatewaydaemon
