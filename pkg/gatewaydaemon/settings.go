package gatewaydaemon

import (
	"time"

	"trefoilferry.example/ferry/pkg/coordinator"
	"trefoilferry.example/ferry/pkg/gateway"
)

// Settings are the settings of the daemon.
type Settings struct {
	// Host names the host of the daemon.
	Host   string
	Region string
	// RegionOf maps failure domains to regions.
	RegionOf map[string]string
	// Callers, Ready, Peers and Metrics are listen addresses.
	Callers string
	Ready   string
	Peers   string
	Metrics string
	// StopGrace is the time between the request to stop and the kill.
	StopGrace time.Duration
	// HolderGap separates the orders of two holders of the lease.
	HolderGap time.Duration
	// FencingChecked is set when runners refuse lower fencing numbers.
	FencingChecked bool
	// ChangeBound is the time within which a change of the configuration or of a server must be in force.
	ChangeBound time.Duration
	// MemoryLimit is the memory of the process in bytes before it is killed.
	MemoryLimit int64
	Budget      gateway.BudgetLimits
	Loads       coordinator.LoadLimits
}
