package placement

import (
	"cmp"
	"slices"

	"trefoilferry.example/ferry/pkg/object"
)

// maxTasks bounds the missing copies that one round assigns, and with it the time of one call. The store loads
// a few models a second, so that more assignments at once would only wait.
const maxTasks = 32

// urgency orders the missing copies.
type urgency int

const (
	// lost marks a model without any live copy.
	lost urgency = iota
	// replaced marks a model whose copies are all of an old version or on departing runners.
	replaced
	// short marks a model with fewer copies than wanted.
	short
)

// task is one missing copy.
type task struct {
	model   *object.Model
	urgency urgency
}

// tasks returns the missing copies: lost models before second copies, then by priority and name.
func (f *fleet) tasks() []task {
	var out []task
	for _, m := range f.in.Config.Models() {
		missing := wanted(m) - f.version(keyOf(m)).live
		for n := range max(0, missing) {
			out = append(out, task{model: m, urgency: f.urgency(m, n)})
		}
	}
	slices.SortStableFunc(out, func(a, b task) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(b.model.Priority, a.model.Priority),
			cmp.Compare(a.model.Name, b.model.Name))
	})
	return out[:min(len(out), maxTasks)]
}

func (f *fleet) urgency(m *object.Model, nth int) urgency {
	if nth > 0 || f.version(keyOf(m)).live > 0 {
		return short
	}
	if f.model(m.Name).ready > 0 {
		return replaced
	}
	return lost
}

// planFloor assigns every missing copy to one runner. Agents with the same view assign alike, so that only
// the chosen one claims; agents with different views are settled by the fold.
func (f *fleet) planFloor(out *PlanOutput) {
	for _, t := range f.tasks() {
		r, found, waits := f.place(t)
		if found {
			f.wish(out, t.model, r)
			continue
		}
		if !waits {
			f.makeRoom(out, t)
		}
	}
}

func (f *fleet) wish(out *PlanOutput, m *object.Model, r Runner) {
	key := keyOf(m)
	floor := f.version(key).floor < wanted(m)
	f.assign(r, key, m.Bytes)
	if floor {
		f.version(key).floor++
	}
	if r.Name != f.in.Self || m.Bytes > f.in.FreeBytes {
		return
	}
	f.in.FreeBytes -= m.Bytes
	out.Claims = append(out.Claims, ClaimWish{Model: m.Name, Version: m.Version, Bytes: m.Bytes, Floor: floor,
		Wanted: uint32(wanted(m))})
}

// place returns the best runner with free memory: fewest copies in its failure domain, then the highest rank.
// It returns false and waits true when a suitable runner has too many open claims now; a second
// copy waits for a fresh failure domain, a lost model takes any runner.
func (f *fleet) place(t task) (best Runner, found, waits bool) {
	key := keyOf(t.model)
	var widest Runner
	for _, r := range f.targets() {
		if !f.allowed(r, t.model) || f.free(r) < t.model.Bytes {
			continue
		}
		if !waits || f.better(r, widest, key) {
			widest, waits = r, true
		}
		if f.load(r.Name).open < maxOpenClaims && (!found || f.better(r, best, key)) {
			best, found = r, true
		}
	}
	worse := f.version(key).inDomain(best.FailureDomain) > f.version(key).inDomain(widest.FailureDomain)
	if found && t.urgency == short && worse {
		return Runner{}, false, true
	}
	return best, found, waits
}

func (f *fleet) better(a, b Runner, key Key) bool {
	v := f.version(key)
	inA, inB := v.inDomain(a.FailureDomain), v.inDomain(b.FailureDomain)
	if inA != inB {
		return inA < inB
	}
	return rank(key, a.Name, f.epoch) > rank(key, b.Name, f.epoch)
}
