package gateway

import (
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

// View is an immutable snapshot of what the daemon believes. Traffic reads it and never waits for control.
type View struct {
	// Config is nil until the first configuration was read.
	Config  *fleet.Config
	Servers map[string]fleet.Server
	// ByService lists the servers of each service in the order of their ids.
	ByService map[string][]string
	// Listed is set once the list of servers was read completely.
	Listed bool
	// ServersAt, ConfigAt and PlacementAt are when what the parts show was last confirmed by the store or the holder.
	ServersAt time.Time
	ConfigAt  time.Time
	// ServersVersion grows with every change; Changed and Gone hold the version at which a server changed or was dropped.
	ServersVersion uint64
	ServerChanged  map[string]uint64
	ServerGone     map[string]uint64
	Placement      *Placement
	PlacementAt    time.Time
	// Changed is closed when a newer view replaces this one.
	Changed chan struct{}
}

// placementFreshness is the age up to which the coordinator's view goes before the servers' own reports.
const placementFreshness = 1500 * time.Millisecond

// Ready reports whether the daemon can serve requests.
func (v *View) Ready() bool { return v.Config != nil && v.Listed }

// holding returns what a server holds: by the coordinator's view while that is fresh or newer than the list of servers,
// by the server's own report otherwise. Without the store both grow old, and the reports were older from the start.
func (v *View) holding(s *fleet.Server, now time.Time) Holding {
	if v.Placement != nil && (now.Sub(v.PlacementAt) < placementFreshness || v.PlacementAt.After(v.ServersAt)) {
		if h, ok := v.Placement.Holdings[s.ID]; ok && h.BornMillis == s.BornMillis {
			return h
		}
	}
	return reportedHolding(s)
}
