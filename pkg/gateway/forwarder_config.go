package gateway

import (
	"trefoilferry.example/ferry/pkg/allowance"
	"trefoilferry.example/ferry/pkg/availability"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/exchange"
	"trefoilferry.example/ferry/pkg/quarantine"
	"trefoilferry.example/ferry/pkg/serverlimit"
)

// ForwarderConfig holds the dependencies and settings of a Forwarder.
type ForwarderConfig struct {
	Control *Control
	Pool    *exchange.Pool
	Tracker *Tracker
	Demand  *Demand
	Board   *quarantine.Board
	Limits  *serverlimit.Table
	// Availability is what the servers say about taking requests.
	Availability *availability.Table
	// Allowances are this daemon's parts of the quotas of workspaces; nil for none.
	Allowances *allowance.Table
	Codec      Codec
	Log        *eventlog.Logger
	Metrics    *Metrics
	// Region is this daemon's region; RegionOf maps failure domains to regions.
	Region   string
	RegionOf map[string]string
	Budget   BudgetLimits
}

// NewForwarder returns a forwarder.
func NewForwarder(p ForwarderConfig) *Forwarder {
	chooser := newChooser(p.Region, p.RegionOf)
	chooser.limits, chooser.availability = p.Limits, p.Availability
	return &Forwarder{
		control: p.Control,
		backend: &backend{pool: p.Pool, codec: p.Codec, tracker: p.Tracker, limits: p.Limits, availability: p.Availability, log: p.Log},
		chooser: chooser,
		budgets: newBudgets(p.Budget),
		board:   p.Board,
		crashes: newCrashWatch(p.Pool, p.Board, p.Log, p.Metrics),
		demand:  p.Demand, codec: p.Codec, log: p.Log, metrics: p.Metrics,
		stop: newStopState(), allowances: p.Allowances,
	}
}

// StartDraining makes all further responses ask callers to close the connection, and refuses what the plan leaves no time
// for.
func (f *Forwarder) StartDraining(plan StopPlan) { f.stop.begin(&plan) }
