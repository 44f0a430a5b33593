package agent

import (
	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/object"
	"trefoilferry.example/ferry/pkg/placement"
)

// Event is an input of the core.
type Event interface {
	apply(c *Core)
}

// Tick makes the core re-evaluate its timers.
type Tick struct{}

// ReportRead delivers a report of the engine.
type ReportRead struct{ Report engine.LoadReport }

// ReportFailed reports that the engine's report could not be read.
type ReportFailed struct{ Err error }

// PlacementRead delivers the state of the placement stream at an offset. CaughtUp is set once the end of the log has
// been reached.
type PlacementRead struct {
	Placement *placement.Snapshot
	Offset    uint64
	CaughtUp  bool
}

// ConfigRead delivers the current configuration. CaughtUp is set once the end of the log has been reached.
type ConfigRead struct {
	Config   *object.Set
	CaughtUp bool
}

// HostsRead delivers the platform's host list.
type HostsRead struct{ Hosts []infra.Host }

// AppendDone reports the result of an AppendRecord. If Err is set, the record is not in the log.
type AppendDone struct {
	Ref    uint64
	Offset uint64
	Err    error
}

// OrderDone reports the result of a SendOrder.
type OrderDone struct {
	ID  string
	Err error
}

// PingDone reports the result of a SendPing.
type PingDone struct {
	Runner string
	Err    error
}

// HintReceived reports the rate of requests that no copy of a model can serve in time.
type HintReceived struct {
	Model          string
	UnmetPerSecond float64
}

// AdapterRequested requests an adapter for a request. Once resident, the adapter stays pinned until AdapterReleased.
type AdapterRequested struct {
	Request string
	Model   string
	Adapter string
}

// AdapterReleased unpins the adapter of a request, or cancels its wait.
type AdapterReleased struct{ Request string }

// RequestsCounted is a snapshot of the request counts. Counts and Served are the numbers of requests in progress and of
// requests accepted since the start, by target; Total counts each request in progress once. Closed names the targets
// that were closed at the time of the snapshot; AllClosed is set if all new requests were refused.
type RequestsCounted struct {
	Counts    map[string]int
	Served    map[string]uint64
	Total     int
	Closed    map[string]bool
	AllClosed bool
}

// StopRequested requests a graceful stop of the agent.
type StopRequested struct{}
