package coordinator

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

// Load pattern: demand moves to several models at once. Guards against loads that wait for each other while the weight
// store has capacity left (three at a time of the ten that it serves at full speed, on the grown deployments).
func TestConcurrentLoadsUseTheStoresRate(t *testing.T) {
	cases := []struct {
		perSecond float64
		load      time.Duration
		want      int
	}{
		{2.1, 1200 * time.Millisecond, 3},
		{1.1, 3 * time.Second, 4},
		{8, 1200 * time.Millisecond, 10},
		{7.5, 1200 * time.Millisecond, 9},
		{0.1, time.Second, 1},
	}
	for _, c := range cases {
		e := &fleet.Engine{LoadsPerSecond: c.perSecond, Models: map[string]fleet.Model{"a": {StoreLoad: c.load}, "b": {StoreLoad: c.load}}}
		if got := concurrentLoads(e); got != c.want {
			t.Errorf("concurrent loads at %v loads/s of %v each: %d, want %d", c.perSecond, c.load, got, c.want)
		}
	}
}

// Load pattern: the demand for all models rises at once while some have no copy. Guards against additional copies that
// use the store's rate and the slots of other models while missing models wait.
func TestOnlyMissingModelsUseAllLoads(t *testing.T) {
	engine := testEngine()
	runners := []*Runner{testRunner("a", "m0", "m1"), testRunner("b", "m0", "m1"), testRunner("c"), testRunner("d")}
	in := PlanInput{Engine: engine, Runners: runners, MaxStoreLoads: 5, MaxSurplusLoads: 0, Now: time.Unix(100, 0),
		Demand: demandOf(ModelDemand{Model: "m0", Rate: 3}, ModelDemand{Model: "m2", Rate: 0.1, Waiting: 1})}
	plan := Plan(in)
	if len(plan) != 1 || plan[0].Load != "m2" {
		t.Errorf("planned %+v, want only the load of the missing model m2", plan)
	}
	in.MaxSurplusLoads = 2
	if plan = Plan(in); len(plan) != 2 || plan[0].Load != "m2" {
		t.Errorf("planned %+v, want the missing model m2 first and one additional copy", plan)
	}
}
