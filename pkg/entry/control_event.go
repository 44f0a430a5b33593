package entry

import "trefoilferry.example/ferry/pkg/infra"

// ControlEvent is an input of the control state.
type ControlEvent interface{ controlEvent() }

// ConfigRead brings the configuration up to date with an offset.
type ConfigRead struct {
	Config ConfigView
	Offset uint64
	// CaughtUp is set once the follower has reached the end of the log or of its peers.
	CaughtUp bool
}

// RoutesRead brings the routes up to date with an offset.
type RoutesRead struct {
	Routes   RouteTable
	Offset   uint64
	CaughtUp bool
}

// HostsRead brings a new host list.
type HostsRead struct{ Hosts []infra.Host }

// RunnerFailed tells that a runner did not answer.
type RunnerFailed struct{ Runner string }

// RunnerAnswered tells that a runner answered.
type RunnerAnswered struct{ Runner string }

// DrainStarted tells that the daemon is to stop.
type DrainStarted struct{}

func (ConfigRead) controlEvent()     {}
func (RoutesRead) controlEvent()     {}
func (HostsRead) controlEvent()      {}
func (RunnerFailed) controlEvent()   {}
func (RunnerAnswered) controlEvent() {}
func (DrainStarted) controlEvent()   {}
