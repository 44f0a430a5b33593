package gateway

import "trefoilferry.example/ferry/pkg/fleet"

// ServerChanges are reports in the order in which the store took them.
type ServerChanges struct {
	// Full is set when Reports is a complete list that replaces everything before.
	Full    bool
	Changes []ServerChange
}

// ServerChange is one report or removal of a backend server.
type ServerChange struct {
	ID      string
	Removed bool
	// Server is unset for a removal.
	Server fleet.Server
}
