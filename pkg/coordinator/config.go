package coordinator

import (
	"trefoilferry.example/ferry/pkg/availability"
	"trefoilferry.example/ferry/pkg/gateway"
	"trefoilferry.example/ferry/pkg/quarantine"
)

// Config holds the settings of a coordinator.
type Config struct {
	// Holder is the name of this host in orders.
	Holder string
	// RegionOf maps failure domains to regions.
	RegionOf   map[string]string
	LoadLimits LoadLimits
	// Board is the quarantine in force at this daemon.
	Board *quarantine.Board
	// Availability is what runners have told this daemon about taking requests; nil for none.
	Availability *availability.Table
	// Quotas is how the quotas of workspaces are measured.
	Quotas gateway.QuotaBound
}
