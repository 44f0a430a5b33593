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

// Tick lets time pass.
type Tick struct{}

// ReportRead carries a report of the engine.
type ReportRead struct{ Report engine.Report }

// ReportFailed tells that the report could not be read.
type ReportFailed struct{ Err error }

// PlacementRead carries the placement records up to an offset. CaughtUp is set once the end of the log was reached.
type PlacementRead struct {
	Placement *placement.Snapshot
	Offset    uint64
	CaughtUp  bool
}

// ConfigRead carries the configuration in force.
type ConfigRead struct {
	Set      *object.Set
	CaughtUp bool
}

// HostsRead carries the platform's host list.
type HostsRead struct{ Hosts []infra.Host }

// AppendDone tells the result of an AppendRecord. On failure the record is certainly not in the log.
type AppendDone struct {
	Ref    uint64
	Offset uint64
	Err    error
}

// OrderDone tells the result of a SendOrder.
type OrderDone struct {
	ID  string
	Err error
}

// PingDone tells the result of a SendPing.
type PingDone struct {
	Runner string
	Err    error
}

// HintReceived tells about demand that no copy can meet.
type HintReceived struct {
	Model          string
	UnmetPerSecond float64
}

// AdapterWanted asks for an adapter on behalf of a request; it stays pinned until AdapterDropped.
type AdapterWanted struct {
	Request string
	Model   string
	Adapter string
}

// AdapterDropped ends the need of a request for its adapter.
type AdapterDropped struct{ Request string }

// WorkCounted tells the work in progress. Closed names the targets that took no new work when it was counted.
type WorkCounted struct {
	Counts    map[string]int
	Served    map[string]uint64
	Total     int
	Closed    map[string]bool
	AllClosed bool
}

// StopRequested tells that the process shall stop.
type StopRequested struct{}
