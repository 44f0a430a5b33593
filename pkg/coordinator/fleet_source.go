package coordinator

import "trefoilferry.example/ferry/pkg/gateway"

// FleetSource tells the configuration and the backend servers that are known now.
type FleetSource interface {
	View() *gateway.View
}
