package gateway

import "trefoilferry.example/ferry/pkg/fleet"

// ServerChanges are reports and removals in the order in which the store received them.
type ServerChanges struct {
	// Full is set if Changes is a complete list that replaces the previous one.
	Full    bool
	Changes []ServerChange
}

// ServerChange is one report or removal of a backend server.
type ServerChange struct {
	ID      string
	Removed bool
	// Server is the zero value for a removal.
	Server fleet.Server
}
