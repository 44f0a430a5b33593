package placement

import (
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/object"
)

// maxOpenClaims bounds the claims of one runner whose load is not finished. An engine loads one model at a time, so
// more open claims would only block copies that another runner could load.
const maxOpenClaims = 2

// loadTurnTimeout is how long an unfinished load counts after its claim got its turn. It is far longer than a load
// from a busy weight store takes, so that only hung engines or agents are skipped.
const loadTurnTimeout = 2 * time.Minute

// fleet is the planner's working state: the snapshot plus what this round has assigned and released. Copies and
// allocations are counted on first use, because a stable placement of many runners needs few of them.
type fleet struct {
	in PlanInput
	// leavingHosts holds the hosts that the host list marks as leaving.
	leavingHosts map[string]bool
	// candidates are the runners that may take new copies, ordered by name; targets sets them.
	candidates []Runner
	// canLoad holds the runners that may load the copies they have claimed; targets sets it.
	canLoad     map[string]bool
	allocations map[string]*runnerAllocation
	modelCounts map[string]*modelCount
	// released holds the claims of the copies that this round releases.
	released map[uint64]bool
	// allowedRegions holds the regions of models whose placement is restricted.
	allowedRegions map[string][]string
	epoch          int64
}

// runnerAllocation is the memory and the models that one runner has committed.
type runnerAllocation struct {
	usedBytes uint64
	// openClaims is the number of claims whose load is not finished.
	openClaims int
	// keys are the model versions of the copies in any state.
	keys []ModelKey
}

// modelCount counts the copies of a model.
type modelCount struct {
	// ready counts the ready copies of all versions on all runners.
	ready    int
	versions []*versionCount
}

// versionCount counts the copies of one version.
type versionCount struct {
	version string
	// live counts the live copies on runners that are not departing.
	live int
	// ready counts the ready copies on runners that are not departing.
	ready int
	// floor counts the live floor copies on all runners, as the fold counts them.
	floor int
	// domains holds the failure domain of each live copy on a runner that is not departing.
	domains []string
}

func newFleet(in PlanInput) *fleet {
	f := &fleet{in: in, leavingHosts: map[string]bool{}, allocations: map[string]*runnerAllocation{},
		modelCounts: make(map[string]*modelCount, len(in.Config.Models())), released: map[uint64]bool{}, allowedRegions: map[string][]string{},
		epoch: in.Now.UnixNano() / int64(rankEpoch)}
	for _, h := range in.Hosts {
		if h.State == infra.HostLeaving {
			f.leavingHosts[h.Name] = true
		}
	}
	for _, p := range in.Config.Placements() {
		f.allowedRegions[p.Model] = append(f.allowedRegions[p.Model], p.Regions...)
	}
	return f
}

func (f *fleet) isDeparting(runner string) bool {
	return f.leavingHosts[runner] || f.in.Config.Drained(runner)
}

// targets returns the runners that may take new copies, ordered by name: those that may load and have no overdue load.
func (f *fleet) targets() []Runner {
	if f.canLoad != nil {
		return f.candidates
	}
	live := make(map[string]bool, len(f.in.Hosts))
	for _, h := range f.in.Hosts {
		live[h.Name] = h.State == infra.HostLive
	}
	hung := f.hungRunners()
	f.canLoad = make(map[string]bool, len(live))
	for _, r := range f.in.Snapshot.Runners() {
		inService := live[r.Name] || len(f.in.Hosts) == 0
		if !inService || r.Service != "" || r.MemoryBytes == 0 || f.isDeparting(r.Name) {
			continue
		}
		f.canLoad[r.Name] = true
		if !hung[r.Name] {
			f.candidates = append(f.candidates, r)
		}
	}
	return f.candidates
}

// runnerCanLoad reports whether a runner may load the copies that it has claimed.
func (f *fleet) runnerCanLoad(runner string) bool {
	f.targets()
	return f.canLoad[runner]
}

// hungRunners returns the runners with an overdue load.
func (f *fleet) hungRunners() map[string]bool {
	out := map[string]bool{}
	for _, c := range f.in.Snapshot.OpenLoads() {
		if f.loadOverdue(c) {
			out[c.Runner] = true
		}
	}
	return out
}

// loadOverdue reports whether a claim's turn to load has lasted too long. Its memory stays committed, but another
// runner may load a copy, and other claims get its turn at the weight store.
func (f *fleet) loadOverdue(c Copy) bool {
	since, known := f.in.LoadTurnSince[c.ClaimOffset]
	return c.State == Claimed && known && f.in.Now.Sub(since) >= loadTurnTimeout
}

// allocation returns what a runner has committed.
func (f *fleet) allocation(runner string) *runnerAllocation {
	if l, ok := f.allocations[runner]; ok {
		return l
	}
	l := &runnerAllocation{}
	for _, c := range f.in.Snapshot.ByRunner(runner) {
		l.add(ModelKey{Model: c.Model, Version: c.Version}, c.Bytes)
		if c.State == Claimed {
			l.openClaims++
		}
	}
	f.allocations[runner] = l
	return l
}

func (l *runnerAllocation) add(key ModelKey, bytes uint64) {
	l.keys = append(l.keys, key)
	l.usedBytes += bytes
}

// model returns the copy counts of a model.
func (f *fleet) model(name string) *modelCount {
	if m, ok := f.modelCounts[name]; ok {
		return m
	}
	m := &modelCount{}
	for _, c := range f.in.Snapshot.Copies(name) {
		f.addCopy(m, c)
	}
	f.modelCounts[name] = m
	return m
}

// version returns the copy counts of a model version.
func (f *fleet) version(key ModelKey) *versionCount { return f.model(key.Model).of(key.Version) }

func (m *modelCount) of(version string) *versionCount {
	for _, v := range m.versions {
		if v.version == version {
			return v
		}
	}
	v := &versionCount{version: version}
	m.versions = append(m.versions, v)
	return v
}

// addCopy counts a copy. Copies on hosts that are missing from the host list count until the runner is evicted: the
// list lags, and an incomplete list must not cause loads everywhere.
func (f *fleet) addCopy(m *modelCount, c Copy) {
	if c.State == Ready {
		m.ready++
	}
	if !c.Live() {
		return
	}
	v := m.of(c.Version)
	if c.Floor {
		v.floor++
	}
	if f.isDeparting(c.Runner) || f.loadOverdue(c) {
		return
	}
	v.live++
	v.domains = append(v.domains, c.FailureDomain)
	if c.State == Ready {
		v.ready++
	}
}

// inDomain returns the number of live copies in a failure domain.
func (v *versionCount) inDomain(domain string) int {
	n := 0
	for _, d := range v.domains {
		if d == domain {
			n++
		}
	}
	return n
}

// assign records a copy that a runner is expected to claim in this round.
func (f *fleet) assign(r Runner, key ModelKey, bytes uint64) {
	l := f.allocation(r.Name)
	l.add(key, bytes)
	l.openClaims++
	v := f.version(key)
	v.live++
	v.domains = append(v.domains, r.FailureDomain)
}

// markReleased records a copy that a runner is expected to release in this round. Its memory is not free yet.
func (f *fleet) markReleased(c Copy) {
	f.released[c.ClaimOffset] = true
	f.model(c.Model).ready--
	if !f.isDeparting(c.Runner) {
		v := f.model(c.Model).of(c.Version)
		v.ready--
		v.live--
	}
}

func (f *fleet) freeBytes(r Runner) uint64 {
	used := f.allocation(r.Name).usedBytes
	if used >= r.MemoryBytes {
		return 0
	}
	return r.MemoryBytes - used
}

// canPlace reports whether the runner is in an allowed region and has no copy of the model version yet.
func (f *fleet) canPlace(r Runner, m *object.Model) bool {
	regions, restricted := f.allowedRegions[m.Name]
	if restricted && !slices.Contains(regions, r.Region) {
		return false
	}
	return !slices.Contains(f.allocation(r.Name).keys, keyOf(m))
}

func keyOf(m *object.Model) ModelKey { return ModelKey{Model: m.Name, Version: m.Version} }

// wantedCopies returns the number of floor copies that a model needs; every published model needs at least one.
func wantedCopies(m *object.Model) int { return max(1, m.MinCopies) }
