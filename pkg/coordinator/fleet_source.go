package coordinator

import (
	"time"

	"trefoilferry.example/ferry/pkg/gateway"
)

// FleetSource provides the current configuration and list of backend servers.
type FleetSource interface {
	View() *gateway.View
	// PollServersFastUntil shortens the polling of the list of servers until the given time.
	PollServersFastUntil(until time.Time)
}
