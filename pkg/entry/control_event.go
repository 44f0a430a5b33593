package entry

import "trefoilferry.example/ferry/pkg/infra"

// ControlEvent is an input to ControlState.
type ControlEvent interface{ controlEvent() }

// ConfigRead carries the configuration as of an offset of the log.
type ConfigRead struct {
	Config ConfigView
	Offset uint64
	// CaughtUp is set once the follower has read to the end of the log, or to the last offset of its peers.
	CaughtUp bool
}

// RoutesRead carries the routes as of an offset of the placement stream.
type RoutesRead struct {
	Routes   RouteTable
	Offset   uint64
	CaughtUp bool
}

// HostsRead carries a new host list.
type HostsRead struct{ Hosts []infra.Host }

// RunnerFailed reports that a call to a runner failed.
type RunnerFailed struct{ Runner string }

// RunnerResponded reports that a runner responded to a call.
type RunnerResponded struct{ Runner string }

// DrainStarted reports that the daemon is shutting down.
type DrainStarted struct{}

func (ConfigRead) controlEvent()      {}
func (RoutesRead) controlEvent()      {}
func (HostsRead) controlEvent()       {}
func (RunnerFailed) controlEvent()    {}
func (RunnerResponded) controlEvent() {}
func (DrainStarted) controlEvent()    {}
