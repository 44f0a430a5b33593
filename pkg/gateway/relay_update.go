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
	// ConfigProvenAt is View.ConfigProvenAt of the lease holder on this daemon's clock; 0 if unknown. It holds for
	// ConfigVersion and later ones.
	ConfigProvenAt time.Duration
	ConfigVersion  int64
}
