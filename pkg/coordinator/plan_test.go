package coordinator

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilferry.example/ferry/pkg/fleet"
)

func testRunner(id string, models ...string) *Runner {
	r := &Runner{id: id, Server: fleet.Server{ID: id}, StateKnown: true, AdapterLastUsed: map[string]time.Time{}}
	for _, m := range models {
		r.Models = append(r.Models, fleet.ResidentModel{Name: m})
	}
	return r
}

// Guards against placing one missing model on every runner in turn: a change that was still unloading another model
// did not count as a copy (ten copies of one model on trouble-3 of apdd-orders, demand that moved).
func TestChangeInProgressCountsAsCopy(t *testing.T) {
	changing := testRunner("a", "m0", "m1")
	changing.Pending = &PendingOrder{Order: Order{Operation: Unload, Model: "m0"}, LoadModel: "m3"}
	in := PlanInput{
		Engine: testEngine(), Runners: []*Runner{changing, testRunner("b", "m0", "m1"), testRunner("c", "m0", "m1")},
		Demand: map[string]ModelDemand{"m3": {Model: "m3", Rate: 0.1, Waiting: 4}}, MaxStoreLoads: 3, MaxSurplusLoads: 3, Now: time.Unix(100, 0),
	}
	if plan := Plan(in); len(plan) != 0 {
		t.Errorf("planned %+v while a load of m3 is pending, want nothing", plan)
	}
	changing.Pending = nil
	if plan := Plan(in); len(plan) != 1 || plan[0].Load != "m3" {
		t.Errorf("planned %+v, want one load of m3", plan)
	}
}

func demandOf(list ...ModelDemand) map[string]ModelDemand {
	out := map[string]ModelDemand{}
	for _, d := range list {
		out[d.Model] = d
	}
	return out
}

// Load patterns of placement: which model gets a copy, and which copy is unloaded for it.
func TestPlanFollowsDemand(t *testing.T) {
	draining := testRunner("z", "m0")
	draining.Server.Draining = true
	kept := testRunner("b", "m1", "m2")
	kept.OnDisk = []string{"m3"}
	cases := []struct {
		name    string
		runners []*Runner
		demand  map[string]ModelDemand
		loads   int
		load    string
		unload  string
		runner  string
	}{
		{"rare model is requested: an idle model is unloaded", []*Runner{testRunner("a", "m0", "m1")},
			demandOf(ModelDemand{Model: "m0", Rate: 0.3}, ModelDemand{Model: "m3", Rate: 0.1, Waiting: 1}), 3, "m3", "m1", "a"},
		{"last copies of models in demand stay", []*Runner{testRunner("a", "m0", "m1")},
			demandOf(ModelDemand{Model: "m0", Rate: 0.3}, ModelDemand{Model: "m1", Rate: 0.1}, ModelDemand{Model: "m3", Rate: 0.1, Waiting: 1}), 3, "", "", ""},
		{"second copy is unloaded before the last one of another model", []*Runner{testRunner("a", "m0", "m1"), testRunner("b", "m0", "m2")},
			demandOf(ModelDemand{Model: "m0", Rate: 0.3}, ModelDemand{Model: "m1", Rate: 0.1}, ModelDemand{Model: "m2", Rate: 0.1}, ModelDemand{Model: "m3", Waiting: 2}), 3, "m3", "m0", "a"},
		{"model under pressure gets a copy in free memory", []*Runner{testRunner("a", "m0", "m1"), testRunner("b", "m2")},
			demandOf(ModelDemand{Model: "m0", Rate: 0.9}), 3, "m0", "", "b"},
		{"balanced copies stay", []*Runner{testRunner("a", "m0", "m1"), testRunner("b", "m0", "m1")},
			demandOf(ModelDemand{Model: "m0", Rate: 1.0}, ModelDemand{Model: "m1", Rate: 0.9}), 3, "", "", ""},
		{"cached weights are preferred to a load from the store", []*Runner{testRunner("a", "m1", "m2"), kept},
			demandOf(ModelDemand{Model: "m3", Waiting: 1}), 3, "m3", "m1", "b"},
		{"store rate used up: only cached weights", []*Runner{testRunner("a", "m1", "m2"), kept},
			demandOf(ModelDemand{Model: "m3", Waiting: 1}), 0, "m3", "m1", "b"},
		{"store rate used up and nothing cached", []*Runner{testRunner("a", "m1", "m2")},
			demandOf(ModelDemand{Model: "m3", Waiting: 1}), 0, "", "", ""},
		{"copy at a draining runner does not count", []*Runner{draining, testRunner("a", "m1")},
			demandOf(ModelDemand{Model: "m0", Rate: 0.1}), 3, "m0", "", "a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			plan := Plan(PlanInput{Engine: testEngine(), Runners: c.runners, Demand: c.demand, MaxStoreLoads: c.loads, MaxSurplusLoads: c.loads, Now: time.Unix(100, 0)})
			if c.load == "" {
				if len(plan) != 0 {
					t.Errorf("planned %+v, want nothing", plan)
				}
				return
			}
			if len(plan) == 0 || plan[0].Load != c.load || plan[0].Unload != c.unload || plan[0].Runner.id != c.runner {
				t.Errorf("planned %+v, want first: load %q, unload %q on runner %s", plan, c.load, c.unload, c.runner)
			}
		})
	}
}

// Guards against any sequence of plans that exceeds a runner's memory, and against unloading the last copy of a model
// in demand.
func TestPlansNeverOverdrawMemory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		engine := testEngine()
		names := []string{"m0", "m1", "m2", "m3"}
		runners := []*Runner{testRunner("a", "m0", "m1"), testRunner("b", "m2"), testRunner("c")}
		for range 20 {
			demand := map[string]ModelDemand{}
			for _, n := range names {
				demand[n] = ModelDemand{Model: n, Rate: rapid.Float64Range(0, 2).Draw(rt, "rate"), Waiting: rapid.IntRange(0, 2).Draw(rt, "waiting")}
			}
			for _, a := range Plan(PlanInput{Engine: engine, Runners: runners, Demand: demand, MaxStoreLoads: 3, MaxSurplusLoads: 3, Now: time.Unix(100, 0)}) {
				if a.Unload != "" {
					a.Runner.Models = slices.DeleteFunc(a.Runner.Models, func(h fleet.ResidentModel) bool { return h.Name == a.Unload })
				}
				a.Runner.Models = append(a.Runner.Models, fleet.ResidentModel{Name: a.Load})
			}
			for _, r := range runners {
				used := adapterReserveMB(engine)
				for _, h := range r.Models {
					used += engine.Models[h.Name].WeightsMB
				}
				if used > engine.MemoryMB {
					rt.Fatalf("memory of runner %s with models %v: %v MB, want at most %v", r.id, r.Models, used, engine.MemoryMB)
				}
			}
		}
	})
}

// Guards against more adapters than a runner has slots, and against unloading an adapter that is in use.
func TestAdapterPlan(t *testing.T) {
	at := time.Unix(100, 0)
	withAdapters := func(id string, adapters ...string) *Runner {
		r := testRunner(id, "m0")
		r.Models[0].Adapters = adapters
		return r
	}
	free, full := withAdapters("a", "a1"), withAdapters("b", "a1", "a2")
	full.AdapterLastUsed = map[string]time.Time{"m0/a1": at.Add(-time.Minute), "m0/a2": at.Add(-time.Hour)}
	if a, ok := PlanAdapter(testEngine(), []*Runner{full, free}, AdapterDemand{"m0", "a3"}, at); !ok || a.Runner != free || a.UnloadAdapter != "" {
		t.Errorf("planned %+v (%v), want a load into the free slot of runner a", a, ok)
	}
	if a, ok := PlanAdapter(testEngine(), []*Runner{full}, AdapterDemand{"m0", "a3"}, at); !ok || a.UnloadAdapter != "a2" {
		t.Errorf("planned %+v (%v), want an unload of a2, unused for the longest time", a, ok)
	}
	free.LoadingAdapters = 1
	if a, ok := PlanAdapter(testEngine(), []*Runner{full, free}, AdapterDemand{"m0", "a3"}, at); !ok || a.UnloadAdapter == "" {
		t.Errorf("planned %+v (%v), want an unload, since an adapter that is loading takes the last slot", a, ok)
	}
	free.LoadingAdapters = 0
	full.AdapterLastUsed = map[string]time.Time{"m0/a1": at, "m0/a2": at}
	if a, ok := PlanAdapter(testEngine(), []*Runner{full}, AdapterDemand{"m0", "a3"}, at); ok {
		t.Errorf("planned %+v, want nothing while both adapters are in use", a)
	}
	if _, ok := PlanAdapter(testEngine(), []*Runner{free}, AdapterDemand{"m2", "a1"}, at); ok {
		t.Error("planned a load of an adapter whose model is not resident, want nothing")
	}
}

// Guards against more loads from the weight store in a sliding window than it allows, with one holder and with two at
// once.
func TestLoadRateInEveryWindow(t *testing.T) {
	limits := LoadLimits{Window: 5 * time.Second, Factor: 1.1}
	rate := 2.1
	bound := int(rate*5*1.1 + 3)
	for name, holders := range map[string]int{"one holder": 1, "two holders": 2} {
		var starts []time.Duration
		for range holders {
			l := &loadLimiter{limits: limits}
			for step := time.Duration(0); step < 30*time.Second; step += 100 * time.Millisecond {
				if l.available(rate, holders == 1, time.Unix(0, 0).Add(step)) > 0 {
					l.recordStart(time.Unix(0, 0).Add(step))
					starts = append(starts, step)
				}
			}
		}
		for _, from := range starts {
			n := 0
			for _, s := range starts {
				if s >= from && s < from+limits.Window {
					n++
				}
			}
			if n > bound {
				t.Errorf("%s: %d loads in the window from %v, want at most %d", name, n, from, bound)
			}
		}
	}
}
