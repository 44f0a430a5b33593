package gateway

import (
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

// controlEvent is one input of the control loop; exactly one field is set.
type controlEvent struct {
	config    *fleet.Config
	servers   *serverEvent
	placement *Placement
	relay     *RelayUpdate
	// confirmed is set when a read of the configuration showed nothing new.
	confirmed time.Time
}

// serverEvent is the result of one read of the list of servers.
type serverEvent struct {
	changes ServerChanges
	// afterOutage is set for the first read after failed ones.
	afterOutage bool
	// sentAt is when the read was sent.
	sentAt time.Time
}
