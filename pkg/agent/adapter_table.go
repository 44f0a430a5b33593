package agent

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
)

// adapterPhase is the phase of an adapter at the engine.
type adapterPhase int

const (
	adapterAbsent adapterPhase = iota
	adapterLoading
	adapterResident
	adapterUnloading
)

// reportSettle is the time after a change for which reports, which lag, don't overrule what the orders showed.
const reportSettle = 2 * time.Second

// adapterState is one adapter that is wanted or holds a slot.
type adapterState struct {
	phase adapterPhase
	order string
	// bytes is the memory that the last order named; 0 without an order.
	bytes   uint64
	since   time.Time
	lastUse time.Time
	// unknown is set while the result of the order is not known; the slot stays taken.
	unknown bool
	// waiters are requests in the order of their arrival; pins are requests that use the adapter.
	waiters []string
	pins    map[string]bool
	failed  *failure.Failure
}

// adapterTable tracks the adapters of one engine.
type adapterTable struct {
	states    map[AdapterKey]*adapterState
	byRequest map[string]AdapterKey
	removed   map[AdapterKey]time.Time
	// version rises with every change of the resident set.
	version uint64
}

func newAdapterTable() adapterTable {
	return adapterTable{states: map[AdapterKey]*adapterState{}, byRequest: map[string]AdapterKey{}, removed: map[AdapterKey]time.Time{}}
}

func (t *adapterTable) state(key AdapterKey) *adapterState {
	s, ok := t.states[key]
	if !ok {
		s = &adapterState{pins: map[string]bool{}}
		t.states[key] = s
	}
	return s
}

func (t *adapterTable) want(now time.Time, e AdapterWanted) {
	if _, ok := t.byRequest[e.Request]; ok {
		return
	}
	key := AdapterKey{Model: e.Model, Adapter: e.Adapter}
	t.byRequest[e.Request] = key
	s := t.state(key)
	s.lastUse = now
	s.waiters = append(s.waiters, e.Request)
}

func (t *adapterTable) drop(now time.Time, request string) {
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

// forget drops a state that stands for nothing.
func (t *adapterTable) forget(key AdapterKey) {
	s := t.states[key]
	if s.phase == adapterAbsent && len(s.waiters) == 0 && len(s.pins) == 0 {
		delete(t.states, key)
	}
}

func (t *adapterTable) set(key AdapterKey, phase adapterPhase, now time.Time) {
	s := t.state(key)
	if phase == adapterAbsent && s.phase != adapterAbsent {
		t.removed[key] = now
		s.bytes = 0
	}
	s.phase = phase
	s.since = now
	s.unknown = false
	t.version++
	t.forget(key)
}

func (t *adapterTable) orderDone(now time.Time, e OrderDone) {
	for key, s := range t.states {
		if s.order != e.ID || (s.phase != adapterLoading && s.phase != adapterUnloading) {
			continue
		}
		t.settle(now, key, s, e.Err)
		return
	}
}

func (t *adapterTable) settle(now time.Time, key AdapterKey, s *adapterState, err error) {
	loading := s.phase == adapterLoading
	switch {
	case err == nil && loading:
		t.set(key, adapterResident, now)
	case err == nil:
		t.set(key, adapterAbsent, now)
	case failure.From(err).Outcome == failure.Unknown:
		s.unknown = true
	case loading:
		s.failed = failure.Wrap(failure.NotLoaded, failure.NotRun, "adapter cannot be loaded", err)
		t.set(key, adapterAbsent, now)
	default:
		t.set(key, adapterResident, now)
	}
}

// reconcile takes over what the engine reports where no recent order says otherwise.
func (t *adapterTable) reconcile(now time.Time, report engine.Report) {
	reported := map[AdapterKey]bool{}
	for _, m := range report.Models {
		for _, a := range m.Adapters {
			reported[AdapterKey{Model: m.Model, Adapter: a}] = true
		}
	}
	for _, key := range t.ordered() {
		t.reconcileOne(now, key, reported[key])
	}
	for key := range reported {
		s, known := t.states[key]
		if (!known || s.phase == adapterAbsent) && now.Sub(t.removed[key]) > reportSettle {
			t.set(key, adapterResident, now)
		}
	}
	maps.DeleteFunc(t.removed, func(_ AdapterKey, at time.Time) bool { return now.Sub(at) > reportSettle })
}

func (t *adapterTable) reconcileOne(now time.Time, key AdapterKey, reported bool) {
	s := t.states[key]
	settled := now.Sub(s.since) > reportSettle
	switch {
	case s.phase == adapterLoading && reported && s.unknown:
		t.set(key, adapterResident, now)
	case s.phase == adapterUnloading && !reported && s.unknown && settled:
		t.set(key, adapterAbsent, now)
	case s.phase == adapterResident && !reported && settled && len(s.pins) == 0:
		t.set(key, adapterAbsent, now)
	}
}

// forgetResidents is called when another engine process answers: it holds nothing yet.
func (t *adapterTable) forgetResidents() {
	for _, key := range t.ordered() {
		s := t.states[key]
		for request := range s.pins {
			delete(t.byRequest, request)
		}
		clear(s.pins)
		s.order = ""
		t.set(key, adapterAbsent, time.Time{})
	}
}

// ordered returns the known adapters in name order.
func (t *adapterTable) ordered() []AdapterKey {
	return slices.SortedFunc(maps.Keys(t.states), func(a, b AdapterKey) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
}

// count returns the adapters in a phase.
func (t *adapterTable) count(phase adapterPhase) int {
	n := 0
	for _, s := range t.states {
		if s.phase == phase {
			n++
		}
	}
	return n
}

// taken returns the slots that are or may be taken.
func (t *adapterTable) taken() int {
	return t.count(adapterLoading) + t.count(adapterResident) + t.count(adapterUnloading)
}

// victim returns the least recently used resident adapter that nobody uses or waits for.
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
