package gatewaydaemon

import (
	"time"

	"trefoilferry.example/ferry/pkg/coordinator"
	"trefoilferry.example/ferry/pkg/gateway"
)

// Settings are the settings of the gateway daemon.
type Settings struct {
	// Host is the name of the daemon's host.
	Host   string
	Region string
	// RegionOf maps failure domains to regions.
	RegionOf map[string]string
	// CallerAddr, ReadyAddr, PeerAddr and MetricsAddr are listen addresses.
	CallerAddr  string
	ReadyAddr   string
	PeerAddr    string
	MetricsAddr string
	// StopGrace is the time from the request to stop until the process is killed.
	StopGrace time.Duration
	// HolderGap is the minimum time between orders of two successive lease holders.
	HolderGap time.Duration
	// FencingEnforced is true if runners refuse orders with a lower fencing token.
	FencingEnforced bool
	// MaxChangeDelay is the time within which a change of the configuration or of a server must take effect.
	MaxChangeDelay time.Duration
	// RevokeBound is the time within which a key that was taken away must be out of force at every daemon; 0 for no bound.
	RevokeBound time.Duration
	// Quotas is how the quotas of workspaces are measured.
	Quotas gateway.QuotaBound
	// Cores is the processor capacity of the host in cores; 0 if unknown.
	Cores float64
	// MemoryLimitBytes is the memory above which the process is killed.
	MemoryLimitBytes int64
	Budget           gateway.BudgetLimits
	Loads            coordinator.LoadLimits
}
