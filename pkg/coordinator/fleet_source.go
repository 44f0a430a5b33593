package coordinator

import "trefoilferry.example/ferry/pkg/fleet"

// FleetSource tells the configuration and the backend servers that are known now.
type FleetSource interface {
	// Fleet returns nil as the configuration until one was read.
	Fleet() (*fleet.Config, map[string]fleet.Server)
}
