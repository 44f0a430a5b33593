package entry

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/infra"
)

// Guards against a configuration that reverts and against readiness before both streams are read.
func TestControlState(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewControlState()
	if s.Step(ConfigRead{Config: fakeConfig{}, Offset: 9, CaughtUp: true}, now).BecameReady || s.Snapshot().Ready() {
		t.Fatal("ready without routes")
	}
	if !s.Step(RoutesRead{Routes: fakeRoutes{}, Offset: 4, CaughtUp: true}, now).BecameReady || !s.Snapshot().Ready() {
		t.Fatal("not ready with both")
	}
	s.Step(ConfigRead{Config: fakeConfig{}, Offset: 8}, now)
	if got := s.Snapshot(); got.ConfigOffset != 9 || !got.Ready() {
		t.Fatalf("reverted to %d", got.ConfigOffset)
	}
	s.Step(HostsRead{Hosts: []infra.Host{{Name: "r1", Role: infra.RoleRunner, State: infra.HostLeaving}}}, now)
	if !s.Snapshot().Leaving["r1"] {
		t.Fatal("leaving runner is not marked")
	}
	if s.Step(RunnerFailed{Runner: "r2"}, now).Suspected != "r2" || s.Step(RunnerFailed{Runner: "r2"}, now).Publish {
		t.Fatal("suspicion counted wrongly")
	}
	before := s.Snapshot()
	s.Step(RunnerAnswered{Runner: "r2"}, now)
	if len(s.Snapshot().Suspects) != 0 || len(before.Suspects) != 1 {
		t.Fatal("suspicion is not lifted, or a published snapshot changed")
	}
	s.Step(RunnerFailed{Runner: "r3"}, now)
	s.Step(RoutesRead{Routes: fakeRoutes{}, Offset: 5}, now)
	if len(s.Snapshot().Suspects) != 1 {
		t.Fatal("suspicion ended without a reason")
	}
	s.Step(RoutesRead{Routes: fakeRoutes{incarnation: "next"}, Offset: 6}, now)
	if len(s.Snapshot().Suspects) != 0 {
		t.Fatal("suspicion outlived the agent")
	}
	s.Step(DrainStarted{}, now)
	if s.Snapshot().Ready() {
		t.Fatal("ready while draining")
	}
}
