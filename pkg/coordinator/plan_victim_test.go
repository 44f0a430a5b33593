package coordinator

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

// Load pattern: a rare model is requested while orders take seconds, because requests in progress on the runner finish
// first. Guards against dropping the model's only serving copy for a busy model: a copy for which another runner was
// still unloading counted as serving (requests of a clinic waited 3.5 s in vain on scale-1 of apdd-orders-grown).
func TestPendingCopyDoesNotReplaceTheServingOne(t *testing.T) {
	changing := testRunner("a", "m0", "m1")
	changing.Pending = &PendingOrder{Order: Order{Operation: Unload, Model: "m0"}, LoadModel: "m2"}
	in := PlanInput{
		Engine: testEngine(), Runners: []*Runner{changing, testRunner("b", "m2", "m0")}, MaxStoreLoads: 3, MaxSurplusLoads: 3, Now: time.Unix(100, 0),
		Demand: demandOf(ModelDemand{Model: "m1", Rate: 3}, ModelDemand{Model: "m0", Rate: 3}, ModelDemand{Model: "m2", Rate: 0.1, Waiting: 2}),
	}
	for _, a := range Plan(in) {
		if a.Unload == "m2" {
			t.Errorf("planned %+v, want no unload of m2, whose only serving copy it is", a)
		}
	}
}

// Load pattern: a missing model must replace a copy of a busy one. Guards against choosing the runner with the most
// streams: an unload waits until they have ended.
func TestVictimIsChosenWhereFewRequestsRun(t *testing.T) {
	busy, quiet := testRunner("a", "m0", "m1"), testRunner("b", "m0", "m1")
	busy.RunningRequests, quiet.RunningRequests = 12, 1
	in := PlanInput{
		Engine: testEngine(), Runners: []*Runner{busy, quiet}, MaxStoreLoads: 3, MaxSurplusLoads: 3, Now: time.Unix(100, 0),
		Demand: demandOf(ModelDemand{Model: "m0", Rate: 0.2}, ModelDemand{Model: "m1", Rate: 0.2}, ModelDemand{Model: "m2", Rate: 0.1, Waiting: 2}),
	}
	plan := Plan(in)
	if len(plan) != 1 || plan[0].Runner.Server.ID != "b" {
		t.Errorf("planned %+v, want one change on runner b, which has fewer requests", plan)
	}
}

// Guards against a plan that ignores the work that daemons report.
func TestReportedWorkReachesThePlan(t *testing.T) {
	c := newHolder(7, 1, map[string]fleet.Server{"one": {ID: "one", Service: "s", StartMillis: 1}})
	c.mu.Lock()
	defer c.mu.Unlock()
	index := c.runners["one"].index
	for _, report := range []struct {
		daemon         string
		requests, want int
	}{{"x", 3, 3}, {"y", 4, 7}, {"x", 1, 5}, {"y", 0, 1}} {
		c.setReport(report.daemon, &daemonReport{work: map[uint32]runnerWork{index: {requests: report.requests}}})
		c.countRunning()
		if got := c.runners["one"].RunningRequests; got != report.want {
			t.Errorf("requests in progress on the runner after %d of %s: %d, want %d", report.requests, report.daemon, got, report.want)
		}
	}
	c.setReport("x", nil)
	c.countRunning()
	if got := c.runners["one"].RunningRequests; got != 0 || len(c.peerWork("")) != 0 {
		t.Errorf("requests in progress on the runner without reports: %d, want 0", got)
	}
}
