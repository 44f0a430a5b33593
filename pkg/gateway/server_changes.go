package gateway

import "trefoilferry.example/ferry/pkg/fleet"

// ServerChanges are reports and removals in the order in which the store received them.
type ServerChanges struct {
	// Full is set if Changes is a complete list that replaces the previous one.
	Full    bool
	Changes []ServerChange
}

// removals returns the number of removals.
func (c *ServerChanges) removals() int {
	n := 0
	for i := range c.Changes {
		if c.Changes[i].Removed {
			n++
		}
	}
	return n
}

// ServerChange is one report or removal of a backend server.
type ServerChange struct {
	ID      string
	Removed bool
	// Server is the zero value for a removal.
	Server fleet.Server
}
