package coordinator

import (
	"time"

	"trefoilferry.example/ferry/pkg/gateway"
)

// FleetSource tells the configuration and the backend servers that are known now.
type FleetSource interface {
	View() *gateway.View
	// Hurry makes changes of the list of servers known sooner until the given time.
	Hurry(until time.Time)
}
