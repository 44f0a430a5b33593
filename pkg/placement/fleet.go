package placement

import (
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/object"
)

// maxOpenClaims bounds the claims of one runner whose load is not finished. An engine loads one model at a
// time; more open claims would only block copies that another runner could load.
const maxOpenClaims = 2

// loadPatience is the time from a claim's turn on after which the unfinished load no longer counts. It lies far above
// the time that a busy weight store needs, so that only engines or agents that hang are passed over.
const loadPatience = 2 * time.Minute

// fleet is the planner's working view: the snapshot plus what this round has assigned and released. It counts copies and
// loads on first use, because a settled placement of many runners asks for few of them.
type fleet struct {
	in PlanInput
	// leaving holds the hosts that the list shows as leaving.
	leaving map[string]bool
	// candidates are the runners that may take new copies, in name order; built by targets.
	candidates []Runner
	// able tells which runners may load the copies that they have claimed; built by targets.
	able     map[string]bool
	loads    map[string]*runnerLoad
	counts   map[string]*modelCount
	released map[uint64]bool
	regions  map[string][]string
	epoch    int64
}

// runnerLoad is what one runner holds.
type runnerLoad struct {
	used uint64
	// open is the number of claims whose load is not finished.
	open int
	// keys are the versions in any state.
	keys []Key
}

// modelCount counts the copies of a model.
type modelCount struct {
	// ready counts ready copies of any version and runner.
	ready    int
	versions []*versionCount
}

// versionCount counts the copies of one version.
type versionCount struct {
	version string
	// live counts the live copies on runners that stay.
	live int
	// readyNow counts the ready copies on runners that stay.
	readyNow int
	// floor counts the floor copies as the fold counts them.
	floor int
	// domains holds the failure domain of every live copy on a runner that stays.
	domains []string
}

func newFleet(in PlanInput) *fleet {
	f := &fleet{in: in, leaving: map[string]bool{}, loads: map[string]*runnerLoad{},
		counts: make(map[string]*modelCount, len(in.Config.Models())), released: map[uint64]bool{}, regions: map[string][]string{},
		epoch: in.Now.UnixNano() / int64(rankEpoch)}
	for _, h := range in.Hosts {
		if h.State == infra.HostLeaving {
			f.leaving[h.Name] = true
		}
	}
	for _, p := range in.Config.Placements() {
		f.regions[p.Model] = append(f.regions[p.Model], p.Regions...)
	}
	return f
}

func (f *fleet) departs(runner string) bool { return f.leaving[runner] || f.in.Config.Drained(runner) }

// targets returns the runners that may take new copies, in name order: those that may load and do not hang.
func (f *fleet) targets() []Runner {
	if f.able != nil {
		return f.candidates
	}
	live := make(map[string]bool, len(f.in.Hosts))
	for _, h := range f.in.Hosts {
		live[h.Name] = h.State == infra.HostLive
	}
	hanging := f.hanging()
	f.able = make(map[string]bool, len(live))
	for _, r := range f.in.Snapshot.Runners() {
		inService := live[r.Name] || len(f.in.Hosts) == 0
		if !inService || r.Service != "" || r.MemoryBytes == 0 || f.departs(r.Name) {
			continue
		}
		f.able[r.Name] = true
		if !hanging[r.Name] {
			f.candidates = append(f.candidates, r)
		}
	}
	return f.candidates
}

// mayLoad reports whether a runner may load the copies that it has claimed.
func (f *fleet) mayLoad(runner string) bool {
	f.targets()
	return f.able[runner]
}

// hanging returns the runners with an overdue claim.
func (f *fleet) hanging() map[string]bool {
	out := map[string]bool{}
	for _, c := range f.in.Snapshot.OpenLoads() {
		if f.overdue(c) {
			out[c.Runner] = true
		}
	}
	return out
}

// overdue reports whether a claim has held its turn for so long that its runner is to be passed over. The claim keeps
// its memory; another runner may load a copy and the next claims get its turn at the weight store.
func (f *fleet) overdue(c Copy) bool {
	since, known := f.in.TurnSince[c.Claim]
	return c.State == Claimed && known && f.in.Now.Sub(since) >= loadPatience
}

// load returns what a runner holds.
func (f *fleet) load(runner string) *runnerLoad {
	if l, ok := f.loads[runner]; ok {
		return l
	}
	l := &runnerLoad{}
	for _, c := range f.in.Snapshot.ByRunner(runner) {
		l.hold(Key{Model: c.Model, Version: c.Version}, c.Bytes)
		if c.State == Claimed {
			l.open++
		}
	}
	f.loads[runner] = l
	return l
}

func (l *runnerLoad) hold(key Key, bytes uint64) {
	l.keys = append(l.keys, key)
	l.used += bytes
}

// model returns the counts of a model.
func (f *fleet) model(name string) *modelCount {
	if m, ok := f.counts[name]; ok {
		return m
	}
	m := &modelCount{}
	for _, c := range f.in.Snapshot.Copies(name) {
		f.addCopy(m, c)
	}
	f.counts[name] = m
	return m
}

// version returns the counts of a version.
func (f *fleet) version(key Key) *versionCount { return f.model(key.Model).of(key.Version) }

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

// addCopy counts a copy. Copies on hosts that are absent from the list count until the runner is evicted: the
// list lags, and a short list must not cause loads everywhere.
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
	if f.departs(c.Runner) || f.overdue(c) {
		return
	}
	v.live++
	v.domains = append(v.domains, c.FailureDomain)
	if c.State == Ready {
		v.readyNow++
	}
}

// inDomain counts the live copies in a failure domain.
func (v *versionCount) inDomain(domain string) int {
	n := 0
	for _, d := range v.domains {
		if d == domain {
			n++
		}
	}
	return n
}

// assign notes a copy that a runner is expected to claim in this round.
func (f *fleet) assign(r Runner, key Key, bytes uint64) {
	l := f.load(r.Name)
	l.hold(key, bytes)
	l.open++
	v := f.version(key)
	v.live++
	v.domains = append(v.domains, r.FailureDomain)
}

// drop notes a copy that a runner is expected to release in this round. Its memory is not free yet.
func (f *fleet) drop(c Copy) {
	f.released[c.Claim] = true
	f.model(c.Model).ready--
	if !f.departs(c.Runner) {
		v := f.model(c.Model).of(c.Version)
		v.readyNow--
		v.live--
	}
}

func (f *fleet) free(r Runner) uint64 {
	used := f.load(r.Name).used
	if used >= r.MemoryBytes {
		return 0
	}
	return r.MemoryBytes - used
}

// allowed reports whether a runner may take a further copy of the model.
func (f *fleet) allowed(r Runner, m *object.Model) bool {
	regions, restricted := f.regions[m.Name]
	if restricted && !slices.Contains(regions, r.Region) {
		return false
	}
	return !slices.Contains(f.load(r.Name).keys, keyOf(m))
}

func keyOf(m *object.Model) Key { return Key{Model: m.Name, Version: m.Version} }

// wanted is the number of floor copies of a model; every published model needs one.
func wanted(m *object.Model) int { return max(1, m.MinCopies) }
