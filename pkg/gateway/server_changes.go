package gateway

import "trefoilferry.example/ferry/pkg/fleet"

// ServerChanges are reports and removals in the order in which the store received them.
type ServerChanges struct {
	// Full is set if Changes is a complete list that replaces the previous one.
	Full bool
	// Restored is set if the store was restored from an earlier copy since the previous list, so that entries may be
	// missing in this one until the servers have written them again.
	Restored bool
	Changes  []ServerChange
}

// withoutOmissions returns the changes without removals that follow only from omissions. A daemon that has read the store
// after the holder may know servers that the holder does not know yet; it would drop them, and then take the holder's
// later news of them for old reports.
func (c *ServerChanges) withoutOmissions() ServerChanges {
	out := ServerChanges{}
	for i := range c.Changes {
		if !c.Changes[i].Omitted {
			out.Changes = append(out.Changes, c.Changes[i])
		}
	}
	return out
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
	// Omitted is set for a removal that follows only from a list without the server.
	Omitted bool
	// Server is the zero value for a removal.
	Server fleet.Server
}
