package gateway

import (
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

// RelayUpdate is what the holder of the lease passes on from the store.
type RelayUpdate struct {
	// Config is nil when the daemon's version is current.
	Config  *fleet.Config
	Servers ServerChanges
	// ServersAt and ConfigAt are when the holder read the store.
	ServersAt time.Time
	ConfigAt  time.Time
}
