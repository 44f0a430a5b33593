package placement

import (
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/object"
	"trefoilferry.example/ferry/pkg/platform"
)

// maxOpenClaims bounds the claims of one runner whose load is not finished. An engine loads one model at a
// time; more open claims would only block copies that another runner could load.
const maxOpenClaims = 2

// loadPatience is the time from a claim's turn on after which the unfinished load no longer counts. It lies far above
// the time that a busy weight store needs, so that only engines or agents that hang are passed over.
const loadPatience = 2 * time.Minute

// fleet is the planner's working view: the snapshot plus what this round has assigned and released.
type fleet struct {
	in PlanInput
	// targets are the runners that may take new copies, in name order.
	targets   []Runner
	departing map[string]bool
	// loads tells which runners may load the copies that they have claimed.
	loads map[string]bool
	used  map[string]uint64
	open  map[string]int
	// holds lists the versions on each runner, in any state.
	holds map[string]map[Key]bool
	// domains counts the live copies of a version per failure domain.
	domains map[Key]map[string]int
	// live counts the live copies of a version on runners that stay.
	live map[Key]int
	// ready counts the ready copies of a model, any version and runner.
	ready map[string]int
	// readyNow counts the ready copies of a version on runners that stay.
	readyNow map[Key]int
	// floor counts the floor copies of a version as the fold counts them.
	floor    map[Key]int
	released map[uint64]bool
	regions  map[string][]string
	epoch    int64
}

func newFleet(in PlanInput) *fleet {
	f := &fleet{in: in, departing: map[string]bool{}, loads: map[string]bool{}, used: map[string]uint64{}, open: map[string]int{},
		holds: map[string]map[Key]bool{}, domains: map[Key]map[string]int{}, live: map[Key]int{},
		ready: map[string]int{}, readyNow: map[Key]int{}, floor: map[Key]int{}, released: map[uint64]bool{},
		regions: map[string][]string{}, epoch: in.Now.UnixNano() / int64(rankEpoch)}
	states := map[string]platform.HostState{}
	for _, h := range in.Hosts {
		states[h.Name] = h.State
	}
	for _, p := range in.Config.Placements() {
		f.regions[p.Model] = append(f.regions[p.Model], p.Regions...)
	}
	for _, r := range in.Snapshot.Runners() {
		f.addRunner(r, states[r.Name])
	}
	return f
}

func (f *fleet) addRunner(r Runner, state platform.HostState) {
	f.departing[r.Name] = state == platform.HostLeaving || f.in.Config.Drained(r.Name)
	hangs := false
	for _, c := range f.in.Snapshot.ByRunner(r.Name) {
		f.addCopy(c)
		hangs = hangs || f.overdue(c)
	}
	live := state == platform.HostLive || len(f.in.Hosts) == 0
	f.loads[r.Name] = live && !f.departing[r.Name] && r.Service == "" && r.MemoryBytes > 0
	if f.loads[r.Name] && !hangs {
		f.targets = append(f.targets, r)
	}
}

// addCopy counts a copy. Copies on hosts that are absent from the list count until the runner is evicted: the
// list lags, and a short list must not cause loads everywhere.
func (f *fleet) addCopy(c Copy) {
	key := Key{Model: c.Model, Version: c.Version}
	f.hold(c.Runner, key, c.Bytes)
	if c.State == Claimed {
		f.open[c.Runner]++
	}
	if c.State == Ready {
		f.ready[c.Model]++
	}
	if !c.Live() {
		return
	}
	if c.Floor {
		f.floor[key]++
	}
	if f.departing[c.Runner] || f.overdue(c) {
		return
	}
	f.live[key]++
	f.inDomain(key, c.FailureDomain)
	if c.State == Ready {
		f.readyNow[key]++
	}
}

// overdue reports whether a claim has held its turn for so long that its runner is to be passed over. The claim keeps
// its memory; another runner may load a copy and the next claims get its turn at the weight store.
func (f *fleet) overdue(c Copy) bool {
	since, known := f.in.TurnSince[c.Claim]
	return c.State == Claimed && known && f.in.Now.Sub(since) >= loadPatience
}

func (f *fleet) hold(runner string, key Key, bytes uint64) {
	if f.holds[runner] == nil {
		f.holds[runner] = map[Key]bool{}
	}
	f.holds[runner][key] = true
	f.used[runner] += bytes
}

func (f *fleet) inDomain(key Key, domain string) {
	if f.domains[key] == nil {
		f.domains[key] = map[string]int{}
	}
	f.domains[key][domain]++
}

// assign notes a copy that a runner is expected to claim in this round.
func (f *fleet) assign(r Runner, key Key, bytes uint64) {
	f.hold(r.Name, key, bytes)
	f.open[r.Name]++
	f.live[key]++
	f.inDomain(key, r.FailureDomain)
}

// drop notes a copy that a runner is expected to release in this round. Its memory is not free yet.
func (f *fleet) drop(c Copy) {
	key := Key{Model: c.Model, Version: c.Version}
	f.released[c.Claim] = true
	f.ready[c.Model]--
	if !f.departing[c.Runner] {
		f.readyNow[key]--
		f.live[key]--
	}
}

func (f *fleet) free(r Runner) uint64 {
	if f.used[r.Name] >= r.MemoryBytes {
		return 0
	}
	return r.MemoryBytes - f.used[r.Name]
}

// allowed reports whether a runner may take a further copy of the model.
func (f *fleet) allowed(r Runner, m *object.Model) bool {
	regions, restricted := f.regions[m.Name]
	if restricted && !slices.Contains(regions, r.Region) {
		return false
	}
	return !f.holds[r.Name][keyOf(m)]
}

func keyOf(m *object.Model) Key { return Key{Model: m.Name, Version: m.Version} }

// wanted is the number of floor copies of a model; every published model needs one.
func wanted(m *object.Model) int { return max(1, m.MinCopies) }
