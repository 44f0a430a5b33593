package coordinator

import (
	"testing"
	"time"

	"trefoilferry.example/ferry/pkg/fleet"
)

func planRunner(id string, models ...string) *Runner {
	r := &Runner{id: id, Server: fleet.Server{ID: id}, Known: true, LastUse: map[string]time.Time{}}
	for _, m := range models {
		r.Models = append(r.Models, fleet.HeldModel{Name: m})
	}
	return r
}

// Guards against one missing model that is placed on every runner in turn: a change that still unloads another model
// did not count as a copy (ten copies of one model on trouble-3 of apdd-orders, demand that moved).
func TestChangeInProgressCountsAsCopy(t *testing.T) {
	busy := planRunner("a", "m0", "m1")
	busy.Pending = &PendingOrder{Order: Order{Operation: Unload, Model: "m0"}, Load: "m3"}
	in := PlanInput{
		Engine: testEngine(), Runners: []*Runner{busy, planRunner("b", "m0", "m1"), planRunner("c", "m0", "m1")},
		Demand: map[string]ModelDemand{"m3": {Model: "m3", Rate: 0.1, Waiting: 4}}, StoreLoads: 3, Now: time.Unix(100, 0),
	}
	if plan := Plan(in); len(plan) != 0 {
		t.Errorf("planned %+v although the model is on its way", plan)
	}
	busy.Pending = nil
	if plan := Plan(in); len(plan) != 1 || plan[0].Load != "m3" {
		t.Errorf("planned %+v, want one load of m3", plan)
	}
}
