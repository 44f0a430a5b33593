package agent

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// adapterPhase is the state of an adapter in the engine.
type adapterPhase int

const (
	adapterAbsent adapterPhase = iota
	adapterLoading
	adapterResident
	adapterUnloading
)

// reportLag is the time after a phase change during which reports, which may be older than the change, do not override
// the results of orders.
const reportLag = 2 * time.Second

// adapterState is the state of an adapter that requests wait for or that occupies a slot.
type adapterState struct {
	phase   adapterPhase
	orderID string
	// bytes is the size given in the last order; 0 if there was none.
	bytes      uint64
	phaseSince time.Time
	lastUse    time.Time
	// resultUnknown is set while the result of the order is unknown; the adapter then still counts as occupying its slot.
	resultUnknown bool
	// waiters are the waiting requests in order of arrival; pins are the requests that use the adapter.
	waiters     []string
	pins        map[string]bool
	loadFailure *failure.Failure
}

// adapterTable tracks the adapters of one engine.
type adapterTable struct {
	states map[AdapterKey]*adapterState
	// byRequest holds the adapter of every request that waits for or uses one.
	byRequest map[string]AdapterKey
	// removedAt holds the time at which an adapter became absent, for reportLag.
	removedAt map[AdapterKey]time.Time
	// superseded lists the adapters that the report shows at versions of a model that are not the newest one, once for
	// each version. They serve no requests but occupy their slots and memory until their version is unloaded.
	superseded []AdapterKey
	// version is incremented by every phase change.
	version uint64
}

func newAdapterTable() adapterTable {
	return adapterTable{states: map[AdapterKey]*adapterState{}, byRequest: map[string]AdapterKey{}, removedAt: map[AdapterKey]time.Time{}}
}

func (t *adapterTable) state(key AdapterKey) *adapterState {
	s, ok := t.states[key]
	if !ok {
		s = &adapterState{pins: map[string]bool{}}
		t.states[key] = s
	}
	return s
}

func (t *adapterTable) addWaiter(now time.Time, e AdapterRequested) {
	if _, ok := t.byRequest[e.Request]; ok {
		return
	}
	key := AdapterKey{Model: e.Model, Adapter: e.Adapter}
	t.byRequest[e.Request] = key
	s := t.state(key)
	s.lastUse = now
	s.waiters = append(s.waiters, e.Request)
}

func (t *adapterTable) removeRequest(now time.Time, request string) {
	key, ok := t.byRequest[request]
	if !ok {
		return
	}
	delete(t.byRequest, request)
	s := t.state(key)
	s.lastUse = now
	delete(s.pins, request)
	s.waiters = slices.DeleteFunc(s.waiters, func(w string) bool { return w == request })
	t.forget(key)
}

// forget deletes the state of an absent adapter that no request waits for or uses.
func (t *adapterTable) forget(key AdapterKey) {
	s := t.states[key]
	if s.phase == adapterAbsent && len(s.waiters) == 0 && len(s.pins) == 0 {
		delete(t.states, key)
	}
}

func (t *adapterTable) setPhase(key AdapterKey, phase adapterPhase, now time.Time) {
	s := t.state(key)
	if phase == adapterAbsent && s.phase != adapterAbsent {
		t.removedAt[key] = now
		s.bytes = 0
	}
	s.phase = phase
	s.phaseSince = now
	s.resultUnknown = false
	t.version++
	t.forget(key)
}

func (t *adapterTable) orderDone(now time.Time, e OrderDone) {
	for key, s := range t.states {
		if s.orderID != e.ID || (s.phase != adapterLoading && s.phase != adapterUnloading) {
			continue
		}
		t.applyResult(now, key, s, e.Err)
		return
	}
}

// applyResult updates the phase of an adapter from the result of its order.
func (t *adapterTable) applyResult(now time.Time, key AdapterKey, s *adapterState, err error) {
	loading := s.phase == adapterLoading
	switch {
	case err == nil && loading:
		t.setPhase(key, adapterResident, now)
	case err == nil:
		t.setPhase(key, adapterAbsent, now)
	case failure.From(err).Outcome == failure.Unknown:
		s.resultUnknown = true
	case loading:
		s.loadFailure = failure.Wrap(failure.NotLoaded, failure.NotRun, "adapter cannot be loaded", err)
		t.setPhase(key, adapterAbsent, now)
	default:
		t.setPhase(key, adapterResident, now)
	}
}

// reconcile updates the phases from the engine's report, except where a more recent order contradicts it. reported
// holds the adapters at the newest version of each model, superseded those at other versions.
func (t *adapterTable) reconcile(now time.Time, reported map[AdapterKey]bool, superseded []AdapterKey) {
	t.superseded = superseded
	for _, key := range t.ordered() {
		t.reconcileOne(now, key, reported[key])
	}
	for key := range reported {
		s, known := t.states[key]
		if (!known || s.phase == adapterAbsent) && now.Sub(t.removedAt[key]) > reportLag {
			t.setPhase(key, adapterResident, now)
		}
	}
	maps.DeleteFunc(t.removedAt, func(_ AdapterKey, at time.Time) bool { return now.Sub(at) > reportLag })
}

func (t *adapterTable) reconcileOne(now time.Time, key AdapterKey, reported bool) {
	s := t.states[key]
	reportCurrent := now.Sub(s.phaseSince) > reportLag
	// Requests that were started with an older version keep their pins, but that does not keep the adapter resident at
	// the newest one.
	unpinned := len(s.pins) == 0 || slices.Contains(t.superseded, key)
	switch {
	case s.phase == adapterLoading && reported && s.resultUnknown:
		t.setPhase(key, adapterResident, now)
	case s.phase == adapterUnloading && !reported && s.resultUnknown && reportCurrent:
		t.setPhase(key, adapterAbsent, now)
	case s.phase == adapterResident && !reported && reportCurrent && unpinned:
		t.setPhase(key, adapterAbsent, now)
	}
}

// forgetResidents marks all adapters as absent. It is called when the engine process was replaced, since the new process
// starts without adapters.
func (t *adapterTable) forgetResidents() {
	for _, key := range t.ordered() {
		s := t.states[key]
		for request := range s.pins {
			delete(t.byRequest, request)
		}
		clear(s.pins)
		s.orderID = ""
		t.setPhase(key, adapterAbsent, time.Time{})
	}
}

// ordered returns the known adapters in name order.
func (t *adapterTable) ordered() []AdapterKey {
	return slices.SortedFunc(maps.Keys(t.states), func(a, b AdapterKey) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
}

// known reports whether an adapter occupies a slot or requests wait for it.
func (t *adapterTable) known(key AdapterKey) bool {
	s, ok := t.states[key]
	return ok && (s.phase != adapterAbsent || len(s.waiters) > 0)
}

// count returns the number of adapters in a phase.
func (t *adapterTable) count(phase adapterPhase) int {
	n := 0
	for _, s := range t.states {
		if s.phase == phase {
			n++
		}
	}
	return n
}

// slotsInUse returns the number of slots that are or may be occupied.
func (t *adapterTable) slotsInUse() int {
	return t.count(adapterLoading) + t.count(adapterResident) + t.count(adapterUnloading) + len(t.superseded)
}

// victim returns the least recently used resident adapter that no request uses or waits for.
func (t *adapterTable) victim() (AdapterKey, bool) {
	var best AdapterKey
	found := false
	for _, key := range t.ordered() {
		s := t.states[key]
		if s.phase != adapterResident || len(s.pins) > 0 || len(s.waiters) > 0 {
			continue
		}
		if !found || s.lastUse.Before(t.states[best].lastUse) {
			best = key
			found = true
		}
	}
	return best, found
}

// resident returns the resident adapters.
func (t *adapterTable) resident() map[AdapterKey]bool {
	out := map[AdapterKey]bool{}
	for key, s := range t.states {
		if s.phase == adapterResident {
			out[key] = true
		}
	}
	return out
}
