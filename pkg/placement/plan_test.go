package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/object"
)

// testConfig is a configuration with fixed content.
type testConfig struct {
	models     []*object.Model
	placements []*object.Placement
	drained    map[string]bool
}

func (c testConfig) Models() []*object.Model         { return c.models }
func (c testConfig) Placements() []*object.Placement { return c.placements }
func (c testConfig) Drained(runner string) bool      { return c.drained[runner] }
func (c testConfig) Model(name string) (*object.Model, bool) {
	for _, m := range c.models {
		if m.Name == name {
			return m, true
		}
	}
	return nil, false
}

func model(name, version string, bytes uint64, copies int) *object.Model {
	return &object.Model{Name: name, Version: version, MemoryBytes: bytes, MinCopies: copies}
}

// cluster runs one planner per runner on one shared fold, with engines that load and free at once.
type cluster struct {
	testFold
	names   []string
	fencing map[string]uint64
	memory  uint64
	config  testConfig
	hosts   []infra.Host
	now     time.Time
	refused int
	demands map[string][]Demand
	usage   map[string]map[ModelKey]Usage
}

func newCluster(runners, domains int, memory uint64, models ...*object.Model) *cluster {
	c := &cluster{testFold: newTestFold(), fencing: map[string]uint64{}, memory: memory, now: time.Unix(1e6, 0),
		config: testConfig{models: models, drained: map[string]bool{}}}
	for i := range runners {
		name, domain := fmt.Sprintf("r%02d", i), fmt.Sprintf("d%d", i%domains)
		c.names = append(c.names, name)
		c.fencing[name] = c.start(name, domain, memory)
		c.hosts = append(c.hosts, infra.Host{Name: name, State: infra.HostLive, FailureDomain: domain})
	}
	return c
}

func (c *cluster) input(name string, s *Snapshot) PlanInput {
	free := c.memory
	for _, held := range c.Snapshot().ByRunner(name) {
		free -= held.Bytes
	}
	return PlanInput{Snapshot: s, Config: c.config, Hosts: c.hosts, Self: name, Now: c.now, FreeBytes: free,
		StoreConcurrency: 2, Demands: c.demands[name], Usage: c.usage[name]}
}

// act plans on a snapshot, which may be old, and appends the resulting records.
func (c *cluster) act(name string, s *Snapshot) PlanOutput {
	out := Plan(c.input(name, s))
	for _, w := range out.Claims {
		kind := surplusKind
		if w.Floor {
			kind = floorKind
		}
		offset := c.put(&ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_Claim{Claim: &ferrypb.Claim{
			Model: w.Model, Version: w.Version, Runner: name, Fencing: c.fencing[name], Bytes: w.Bytes, Kind: kind,
			Wanted: w.Wanted}}})
		if _, ok := c.Snapshot().Copy(offset); !ok {
			c.refused++
		}
	}
	for _, r := range out.Releases {
		c.releaseCopy(r.Claim, name, c.fencing[name], r.Keep)
	}
	for _, claim := range out.Abandons {
		c.put(&ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_Abandon{Abandon: &ferrypb.Abandon{
			Claim: claim, Runner: name, Fencing: c.fencing[name]}}})
	}
	if out.Load != 0 {
		c.markReady(out.Load, name, c.fencing[name])
	}
	return out
}

func (c *cluster) freeReleased(name string) {
	for _, held := range c.Snapshot().ByRunner(name) {
		if held.State == Released {
			c.free(held.ClaimOffset, name, c.fencing[name])
		}
	}
}

func (c *cluster) rounds(n int) {
	for range n {
		c.now = c.now.Add(2 * time.Second)
		s := c.Snapshot()
		for _, name := range c.names {
			c.act(name, s)
		}
		for _, name := range c.names {
			c.freeReleased(name)
		}
	}
}

func (c *cluster) readyOf(m string) map[string]int {
	out := map[string]int{}
	for _, held := range c.Snapshot().Ready(m) {
		out[held.Version+"@"+held.FailureDomain]++
	}
	return out
}

// Guards against floor copies of a model in one failure domain, and against agents with the same snapshot that claim
// the same copies.
func TestPlanSpreadsFloorCopies(t *testing.T) {
	var models []*object.Model
	for i := range 20 {
		models = append(models, model(fmt.Sprintf("m%02d", i), "1", 10, 2))
	}
	c := newCluster(12, 3, 50, models...)
	c.rounds(30)
	for _, m := range models {
		if ready := c.readyOf(m.Name); len(ready) != 2 {
			t.Errorf("ready copies of model %s by version and failure domain: %v, want 2 failure domains", m.Name, ready)
		}
	}
	if c.refused > 0 {
		t.Errorf("claims refused by the fold: %d, want 0", c.refused)
	}
	before := c.Offset()
	c.rounds(10)
	if c.Offset() != before {
		t.Errorf("records appended by a stable placement: %d, want 0", c.Offset()-before)
	}
}

// Guards against a model without a ready copy while other models have second copies.
func TestPlanPrefersLostModelsToSecondCopies(t *testing.T) {
	c := newCluster(2, 2, 20, model("a", "1", 10, 2), model("b", "1", 10, 2))
	c.rounds(10)
	c.config.models = append(c.config.models, model("c", "1", 10, 2))
	c.rounds(20)
	for _, m := range c.config.models {
		if len(c.Snapshot().Ready(m.Name)) == 0 {
			t.Errorf("ready copies of model %s: 0, want at least 1; models with copies: %v", m.Name, c.Snapshot().Models())
		}
	}
}

// Guards against a version change that releases the old copies before the new ones are ready, or that keeps both.
func TestPlanReplacesAVersion(t *testing.T) {
	c := newCluster(4, 2, 20, model("a", "1", 10, 2))
	c.rounds(5)
	c.config.models = []*object.Model{model("a", "2", 10, 2)}
	for range 20 {
		c.rounds(1)
		if len(c.Snapshot().Ready("a")) < 2 {
			t.Fatalf("ready copies during the version change: %v, want at least 2", c.readyOf("a"))
		}
	}
	if got := c.readyOf("a"); got["2@d0"] != 1 || got["2@d1"] != 1 || len(got) != 2 {
		t.Fatalf("ready copies after the version change: %v, want one of version 2 in each of d0 and d1", got)
	}
}

// Guards against a drained runner that keeps its copies or releases them too early.
func TestPlanEvacuatesADrainedRunner(t *testing.T) {
	c := newCluster(4, 2, 40, model("a", "1", 10, 2), model("b", "1", 10, 2))
	c.rounds(5)
	drained := c.Snapshot().Ready("a")[0].Runner
	c.config.drained[drained] = true
	for range 15 {
		c.rounds(1)
		if len(c.Snapshot().Ready("a")) < 2 {
			t.Fatalf("ready copies during the drain: %v, want at least 2", c.readyOf("a"))
		}
	}
	if left := c.Snapshot().ByRunner(drained); len(left) != 0 {
		t.Fatalf("copies left on the drained runner: %v, want none", left)
	}
}

// Guards against moves that are not worth their cost: low demand, an outdated hint, or replacing a copy that is busier
// or was loaded recently.
func TestPlanAddsSurplusOnlyWhenItPays(t *testing.T) {
	tests := []struct {
		name           string
		unmet, busy    float64
		age, residency time.Duration
		want           bool
	}{
		{"strong demand, idle surplus", 10, 0, 0, time.Hour, true},
		{"low demand", 0.05, 0, 0, time.Hour, false},
		{"outdated hint", 10, 0, time.Minute, time.Hour, false},
		{"busier surplus", 10, 9, 0, time.Hour, false},
		{"recently loaded surplus", 10, 0, 0, time.Minute, false},
	}
	for _, tt := range tests {
		c := newCluster(3, 3, 10, model("a", "1", 10, 1), model("b", "1", 10, 1))
		for _, name := range c.names[:2] {
			c.markReady(c.claim(name, "a", "1", c.fencing[name], surplusKind, 1), name, c.fencing[name])
		}
		c.markReady(c.claim(c.names[2], "b", "1", c.fencing[c.names[2]], floorKind, 1), c.names[2], c.fencing[c.names[2]])
		in := c.input(c.names[0], c.Snapshot())
		in.FreeBytes = 0
		in.Demands = []Demand{{Model: "b", UnmetPerSecond: tt.unmet, At: c.now.Add(-tt.age)}}
		in.Usage = map[ModelKey]Usage{{"a", "1"}: {RatePerSecond: tt.busy, ReadySince: c.now.Add(-tt.residency)}}
		if got := len(Plan(in).Releases) > 0; got != tt.want {
			t.Errorf("%s: released %v, want %v", tt.name, got, tt.want)
		}
	}
}

// Guards against loads on more runners at once than the shared weight store serves at full speed.
func TestPlanSharesTheStore(t *testing.T) {
	c := newCluster(6, 3, 50)
	for _, name := range c.names {
		c.claim(name, "m"+name, "1", c.fencing[name], floorKind, 1)
		c.config.models = append(c.config.models, model("m"+name, "1", 10, 1))
	}
	c.hosts[0].State = infra.HostLeaving
	loading := 0
	for _, name := range c.names {
		if Plan(c.input(name, c.Snapshot())).Load != 0 {
			loading++
		}
	}
	if loading != 2 {
		t.Fatalf("runners that load at once: %d, want 2", loading)
	}
}

// Guards against hung engines that keep all turns at the weight store or the only copy of a model.
func TestPlanSkipsOverdueLoads(t *testing.T) {
	c := newCluster(4, 2, 50)
	since := map[uint64]time.Time{}
	for _, name := range c.names[:2] {
		claim := c.claim(name, "m"+name, "1", c.fencing[name], floorKind, 1)
		since[claim] = c.now
		c.config.models = append(c.config.models, model("m"+name, "1", 10, 1))
	}
	waiting := c.names[2]
	own := c.claim(waiting, "other", "1", c.fencing[waiting], floorKind, 1)
	c.config.models = append(c.config.models, model("other", "1", 10, 1))
	claims := 0
	for _, age := range []time.Duration{0, loadTurnTimeout} {
		c.now = c.now.Add(age)
		for _, name := range c.names[2:] {
			in := c.input(name, c.Snapshot())
			in.LoadTurnSince = since
			out := Plan(in)
			claims += len(out.Claims)
			if wantTurn := age > 0 && name == waiting; (out.Load == own) != wantTurn {
				t.Errorf("load of runner %s after %v: claim %d, want claim %d: %v", name, age, out.Load, own, wantTurn)
			}
		}
	}
	if claims != 2 {
		t.Fatalf("replacements claimed: %d, want 2 after loadTurnTimeout and none before", claims)
	}
}

// Guards against overcommitted memory and models without a ready copy when agents act on old snapshots in any order
// while the configuration changes.
func TestPlanKeepsMemoryAndReachability(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(6, 3, 30)
		names := []string{"a", "b", "c", "d", "e"}
		for _, name := range names {
			c.config.models = append(c.config.models, model(name, "1", 10, 2))
		}
		reached := map[string]bool{}
		old := c.Snapshot()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			c.now = c.now.Add(time.Second)
			name := rapid.SampledFrom(c.names).Draw(t, "runner")
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1, 2:
				c.act(name, old)
			case 3, 4:
				old = c.Snapshot()
			case 5:
				c.freeReleased(name)
			case 6:
				i := rapid.IntRange(0, len(names)-1).Draw(t, "model")
				version := rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")
				c.config.models = append([]*object.Model(nil), c.config.models...)
				c.config.models[i] = model(names[i], version, 10, 2)
			case 7:
				c.config.drained = map[string]bool{name: rapid.Bool().Draw(t, "drained")}
			}
			checkCluster(t, c, reached)
		}
	})
}

func checkCluster(t *rapid.T, c *cluster, reached map[string]bool) {
	for _, name := range c.names {
		used := uint64(0)
		for _, held := range c.Snapshot().ByRunner(name) {
			used += held.Bytes
		}
		if used > c.memory {
			t.Fatalf("bytes of the copies on runner %s: %d, want at most %d", name, used, c.memory)
		}
	}
	for _, m := range c.config.models {
		ready := len(c.Snapshot().Ready(m.Name)) > 0
		if reached[m.Name] && !ready {
			t.Fatalf("ready copies of model %s, which had one before: 0, want at least 1", m.Name)
		}
		reached[m.Name] = reached[m.Name] || ready
	}
}
