package gateway

import (
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

// controlEvent is one input of the control loop. Exactly one field is set, except that config comes with configAt.
type controlEvent struct {
	config    *fleet.Config
	servers   *serverEvent
	placement *Placement
	relay     *RelayUpdate
	// configAt is when the configuration was known to be current. An event with this field alone reports a read that
	// returned nothing new.
	configAt time.Time
	// configProvenAt is when the read of the configuration was sent, as View.ConfigProvenAt.
	configProvenAt time.Duration
}

// serverEvent is the result of one read of the server list.
type serverEvent struct {
	changes ServerChanges
	// afterOutage is set for the first successful read after failed ones.
	afterOutage bool
	// sentAt is when the read was sent.
	sentAt time.Time
}
