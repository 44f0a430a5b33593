package entry

import (
	"time"

	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/routing"
)

// ControlState is the control state of an entry host. It depends only on the events and times passed to Apply. It is not
// safe for concurrent use.
type ControlState struct {
	current        Snapshot
	suspects       *routing.Suspects
	configCaughtUp bool
	routesCaughtUp bool
}

// Effects are the actions that the owner of the state must take after an event.
type Effects struct {
	// Publish is set when the snapshot has changed.
	Publish bool
	// Suspected is the runner that has just become suspected, and is avoided from now on; empty for none.
	Suspected string
	// BecameReady is set when configuration and routes have both caught up for the first time.
	BecameReady bool
}

// NewControlState returns the state before the first read.
func NewControlState() *ControlState {
	return &ControlState{
		current:  Snapshot{Config: emptyConfig{}, Routes: emptyRoutes{}},
		suspects: routing.NewSuspects(),
	}
}

// Snapshot returns a copy of the state for request goroutines.
func (s *ControlState) Snapshot() *Snapshot {
	c := s.current
	return &c
}

// Apply applies an event that happened at now, and returns what the owner must do.
func (s *ControlState) Apply(event ControlEvent, now time.Time) Effects {
	switch e := event.(type) {
	case ConfigRead:
		return s.configRead(e)
	case RoutesRead:
		return s.routesRead(e)
	case HostsRead:
		return s.hostsRead(e)
	case RunnerFailed:
		return s.runnerFailed(e, now)
	case RunnerResponded:
		return s.runnerAnswered(e)
	case DrainStarted:
		s.current.Draining = true
		return Effects{Publish: true}
	}
	return Effects{}
}

// configRead applies a configuration unless it is older than the current one.
func (s *ControlState) configRead(e ConfigRead) Effects {
	if e.Offset >= s.current.ConfigOffset && e.Config != nil {
		s.current.Config = e.Config
		s.current.ConfigOffset = e.Offset
	}
	s.configCaughtUp = s.configCaughtUp || e.CaughtUp
	return s.updateCaughtUp()
}

func (s *ControlState) routesRead(e RoutesRead) Effects {
	if e.Offset >= s.current.PlacementOffset && e.Routes != nil {
		s.suspects.Retain(sameAgents(s.current.Routes, e.Routes))
		s.current.Routes = e.Routes
		s.current.PlacementOffset = e.Offset
		s.current.Suspects = s.suspects.Until()
	}
	s.routesCaughtUp = s.routesCaughtUp || e.CaughtUp
	return s.updateCaughtUp()
}

// sameAgents returns a function that reports whether a runner has the same agent incarnation in both tables. A runner
// stays suspected only as long as the agent that failed, so that a replacement gets requests once it has announced
// itself.
func sameAgents(before, after RouteTable) func(runner string) bool {
	return func(runner string) bool {
		oldIncarnation, _ := before.Incarnation(runner)
		newIncarnation, known := after.Incarnation(runner)
		return known && oldIncarnation == newIncarnation
	}
}

func (s *ControlState) updateCaughtUp() Effects {
	before := s.current.CaughtUp
	s.current.CaughtUp = s.configCaughtUp && s.routesCaughtUp
	return Effects{Publish: true, BecameReady: s.current.CaughtUp && !before}
}

func (s *ControlState) hostsRead(e HostsRead) Effects {
	leaving := map[string]bool{}
	for _, h := range e.Hosts {
		if h.Role == infra.RoleRunner && h.State == infra.HostLeaving {
			leaving[h.Name] = true
		}
	}
	s.current.Hosts = e.Hosts
	s.current.Leaving = leaving
	return Effects{Publish: true}
}

func (s *ControlState) runnerFailed(e RunnerFailed, now time.Time) Effects {
	if _, known := s.current.Routes.Incarnation(e.Runner); !known || !s.suspects.RecordFailure(e.Runner, now) {
		return Effects{}
	}
	s.current.Suspects = s.suspects.Until()
	return Effects{Publish: true, Suspected: e.Runner}
}

func (s *ControlState) runnerAnswered(e RunnerResponded) Effects {
	if !s.suspects.Clear(e.Runner) {
		return Effects{}
	}
	s.current.Suspects = s.suspects.Until()
	return Effects{Publish: true}
}
