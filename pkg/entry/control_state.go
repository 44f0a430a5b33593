package entry

import (
	"time"

	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/routing"
)

// ControlState is the control state of an entry host: a deterministic function of events and times.
// It is owned by one goroutine.
type ControlState struct {
	current        Snapshot
	suspects       *routing.Suspects
	configCaughtUp bool
	routesCaughtUp bool
}

// Effects are what a step asks the owner to do.
type Effects struct {
	// Publish is set when the snapshot has changed.
	Publish bool
	// Suspected names a runner that is newly avoided.
	Suspected string
	// BecameReady is set when the daemon has caught up.
	BecameReady bool
}

// NewControlState returns the state before the first read.
func NewControlState() *ControlState {
	return &ControlState{
		current:  Snapshot{Config: emptyConfig{}, Routes: emptyRoutes{}},
		suspects: routing.NewSuspects(),
	}
}

// Snapshot returns a copy of the state for traffic goroutines.
func (s *ControlState) Snapshot() *Snapshot {
	c := s.current
	return &c
}

// Step applies an event.
func (s *ControlState) Step(event ControlEvent, now time.Time) Effects {
	switch e := event.(type) {
	case ConfigRead:
		return s.configRead(e)
	case RoutesRead:
		return s.routesRead(e)
	case HostsRead:
		return s.hostsRead(e)
	case RunnerFailed:
		return s.runnerFailed(e, now)
	case RunnerAnswered:
		return s.runnerAnswered(e)
	case DrainStarted:
		s.current.Draining = true
		return Effects{Publish: true}
	}
	return Effects{}
}

// configRead never goes back to an older configuration.
func (s *ControlState) configRead(e ConfigRead) Effects {
	if e.Offset >= s.current.ConfigOffset && e.Config != nil {
		s.current.Config = e.Config
		s.current.ConfigOffset = e.Offset
	}
	s.configCaughtUp = s.configCaughtUp || e.CaughtUp
	return s.caughtUp()
}

func (s *ControlState) routesRead(e RoutesRead) Effects {
	if e.Offset >= s.current.PlacementOffset && e.Routes != nil {
		s.suspects.Retain(sameAgents(s.current.Routes, e.Routes))
		s.current.Routes = e.Routes
		s.current.PlacementOffset = e.Offset
		s.current.Suspects = s.suspects.Until()
	}
	s.routesCaughtUp = s.routesCaughtUp || e.CaughtUp
	return s.caughtUp()
}

// sameAgents tells which runners have the same agent in both tables. A suspicion ends with the agent that caused it,
// so that a replaced agent gets work as soon as it has announced itself.
func sameAgents(before, after RouteTable) func(runner string) bool {
	return func(runner string) bool {
		was, _ := before.Incarnation(runner)
		is, known := after.Incarnation(runner)
		return known && was == is
	}
}

func (s *ControlState) caughtUp() Effects {
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
	if _, known := s.current.Routes.Incarnation(e.Runner); !known || !s.suspects.Fail(e.Runner, now) {
		return Effects{}
	}
	s.current.Suspects = s.suspects.Until()
	return Effects{Publish: true, Suspected: e.Runner}
}

func (s *ControlState) runnerAnswered(e RunnerAnswered) Effects {
	if !s.suspects.Answered(e.Runner) {
		return Effects{}
	}
	s.current.Suspects = s.suspects.Until()
	return Effects{Publish: true}
}
