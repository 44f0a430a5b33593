package entry

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/infra"
)

// Guards against a return to an older configuration, readiness before both streams are read, and suspicions that end
// too early or too late.
func TestControlState(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewControlState()
	if s.Apply(ConfigRead{Config: fakeConfig{}, Offset: 9, CaughtUp: true}, now).BecameReady || s.Snapshot().Ready() {
		t.Fatal("ready after only the configuration was read")
	}
	if !s.Apply(RoutesRead{Routes: fakeRoutes{}, Offset: 4, CaughtUp: true}, now).BecameReady || !s.Snapshot().Ready() {
		t.Fatal("not ready after configuration and routes were read")
	}
	s.Apply(ConfigRead{Config: fakeConfig{}, Offset: 8}, now)
	if got := s.Snapshot(); got.ConfigOffset != 9 || !got.Ready() {
		t.Fatalf("after an older configuration: offset %d and ready %v, want 9 and true", got.ConfigOffset, got.Ready())
	}
	s.Apply(HostsRead{Hosts: []infra.Host{{Name: "r1", Role: infra.RoleRunner, State: infra.HostLeaving}}}, now)
	if !s.Snapshot().Leaving["r1"] {
		t.Fatal("runner that the host list reports as leaving is not in Leaving")
	}
	if s.Apply(RunnerFailed{Runner: "r2"}, now).Suspected != "r2" || s.Apply(RunnerFailed{Runner: "r2"}, now).Publish {
		t.Fatal("two failures of a runner: want it suspected by the first, and no snapshot for the second")
	}
	before := s.Snapshot()
	s.Apply(RunnerResponded{Runner: "r2"}, now)
	if len(s.Snapshot().Suspects) != 0 || len(before.Suspects) != 1 {
		t.Fatalf("suspects after a response: %d, want 0; in the earlier snapshot: %d, want 1", len(s.Snapshot().Suspects), len(before.Suspects))
	}
	s.Apply(RunnerFailed{Runner: "r3"}, now)
	s.Apply(RoutesRead{Routes: fakeRoutes{}, Offset: 5}, now)
	if len(s.Snapshot().Suspects) != 1 {
		t.Fatalf("suspects after routes with the same agents: %d, want 1", len(s.Snapshot().Suspects))
	}
	s.Apply(RoutesRead{Routes: fakeRoutes{incarnation: "next"}, Offset: 6}, now)
	if len(s.Snapshot().Suspects) != 0 {
		t.Fatalf("suspects after the agent was replaced: %d, want 0", len(s.Snapshot().Suspects))
	}
	s.Apply(DrainStarted{}, now)
	if s.Snapshot().Ready() {
		t.Fatal("ready while draining")
	}
}
