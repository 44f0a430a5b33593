package coordinator

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

// Load pattern: a rare model is asked for while orders take seconds, because runs at the runner end first. Guards against
// its only serving copy being dropped for a busy model: the copy that another runner still makes room for was counted as
// one that serves (requests of a clinic waited 3.5 s in vain on scale-1 of apdd-orders-grown).
func TestCopyOnItsWayDoesNotReplaceTheServingOne(t *testing.T) {
	onItsWay := planRunner("a", "m0", "m1")
	onItsWay.Pending = &PendingOrder{Order: Order{Operation: Unload, Model: "m0"}, Load: "m2"}
	in := PlanInput{
		Engine: testEngine(), Runners: []*Runner{onItsWay, planRunner("b", "m2", "m0")}, StoreLoads: 3, SurplusLoads: 3, Now: time.Unix(100, 0),
		Demand: demandOf(ModelDemand{Model: "m1", Rate: 3}, ModelDemand{Model: "m0", Rate: 3}, ModelDemand{Model: "m2", Rate: 0.1, Waiting: 2}),
	}
	for _, a := range Plan(in) {
		if a.Unload == "m2" {
			t.Errorf("planned %+v, which drops the only copy that serves", a)
		}
	}
}

// Load pattern: a missing model must replace a copy of a busy one. Guards against the runner with the most streams being
// chosen: an order to unload waits until they have ended.
func TestRoomIsMadeWhereFewRequestsRun(t *testing.T) {
	crowdedRunner, calm := planRunner("a", "m0", "m1"), planRunner("b", "m0", "m1")
	crowdedRunner.Running, calm.Running = 12, 1
	in := PlanInput{
		Engine: testEngine(), Runners: []*Runner{crowdedRunner, calm}, StoreLoads: 3, SurplusLoads: 3, Now: time.Unix(100, 0),
		Demand: demandOf(ModelDemand{Model: "m0", Rate: 0.2}, ModelDemand{Model: "m1", Rate: 0.2}, ModelDemand{Model: "m2", Rate: 0.1, Waiting: 2}),
	}
	plan := Plan(in)
	if len(plan) != 1 || plan[0].Runner.Server.ID != "b" {
		t.Errorf("planned %+v, want the calm runner", plan)
	}
}

// Guards against a plan that does not see what daemons report to run.
func TestReportedWorkReachesThePlan(t *testing.T) {
	c := holderWith(7, 1, map[string]fleet.Server{"one": {ID: "one", Service: "s", BornMillis: 1}})
	c.mu.Lock()
	defer c.mu.Unlock()
	index := c.runners["one"].index
	c.daemons["x"] = &daemonState{work: map[uint32]peerWork{index: {requests: 3}}}
	c.daemons["y"] = &daemonState{work: map[uint32]peerWork{index: {requests: 4}}}
	c.countRunning()
	if got := c.runners["one"].Running; got != 7 {
		t.Errorf("%d requests run, want 7", got)
	}
}
