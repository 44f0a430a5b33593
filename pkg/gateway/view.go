package gateway

import (
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
	"trefoilferry.example/ferry/pkg/keyring"
)

// View is an immutable snapshot of the routing state. Requests read it without waiting for the control loop.
type View struct {
	// Config is nil until a configuration has been read.
	Config  *fleet.Config
	Servers map[string]fleet.Server
	// ByService holds the ids of the servers of each service in ascending order.
	ByService map[string][]string
	// ServersKnown is set once a complete server list has been read.
	ServersKnown bool
	// ServersAt, ConfigAt and PlacementAt are when the servers, the configuration and the placement were last known to be
	// current, by the store or the lease holder.
	ServersAt time.Time
	ConfigAt  time.Time
	// ConfigProvenAt is when the newest read was sent whose response shows that Config is in force, on the clock that counts
	// time spent suspended. It is earlier than ConfigAt, which relies on responses not being delayed.
	ConfigProvenAt time.Duration
	// Keys is the index of the keys in Config; nil if callers need none.
	Keys *keyring.Ring
	// ServersVersion grows with every change of the servers; ServerChanged and ServerRemoved hold the version at which a
	// server changed or was removed.
	ServersVersion uint64
	ServerChanged  map[string]uint64
	ServerRemoved  map[string]uint64
	// ServersForgotten is the version up to which removals may be missing from ServerRemoved.
	ServersForgotten uint64
	Placement        *Placement
	PlacementAt      time.Time
	// Changed is closed when a newer view replaces this one.
	Changed chan struct{}
}

// maxPlacementAge is the age up to which the coordinator's placement takes precedence over the servers' own reports.
const maxPlacementAge = 1500 * time.Millisecond

// Ready reports whether the daemon can serve requests.
func (v *View) Ready() bool { return v.Config != nil && v.ServersKnown }

// holding returns the models and adapters that a server has loaded: by the coordinator's placement while that is fresh
// or newer than the server list, otherwise by the server's own report. Without the store both become stale, and the
// reports were older to begin with.
func (v *View) holding(s *fleet.Server, now time.Time) Holding {
	if v.Placement != nil && (now.Sub(v.PlacementAt) < maxPlacementAge || v.PlacementAt.After(v.ServersAt)) {
		if h, ok := v.Placement.Holdings[s.ID]; ok && h.BornMillis == s.StartMillis {
			return h
		}
	}
	return reportedHolding(s)
}
