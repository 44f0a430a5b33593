package gateway

import "trefoilferry.example/ferry/pkg/fleet"

// controlEvent is one input of the control loop; exactly one field is set.
type controlEvent struct {
	config    *fleet.Config
	servers   *serverEvent
	placement *Placement
}

// serverEvent is the result of one read of the list of servers.
type serverEvent struct {
	changes ServerChanges
	// afterOutage is set for the first read after failed ones.
	afterOutage bool
}
