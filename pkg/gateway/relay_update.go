package gateway

import (
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

// RelayUpdate is the state of the store that the lease holder relays to the other daemons.
type RelayUpdate struct {
	// Config is nil if the receiving daemon's version is current.
	Config  *fleet.Config
	Servers ServerChanges
	// Complete is set if the servers tell by omission which ones have left.
	Complete bool
	// ServersAt and ConfigAt are when the lease holder read the store.
	ServersAt time.Time
	ConfigAt  time.Time
}
