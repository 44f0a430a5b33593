package placement

import (
	"cmp"
	"slices"

	"trefoilferry.example/ferry/pkg/object"
)

// maxMissingCopies bounds the missing copies that one round assigns, and with them the duration of one call. The
// weight store loads only a few models per second, so further assignments would only wait.
const maxMissingCopies = 32

// urgency ranks the missing copies; lower values are assigned first.
type urgency int

const (
	// noLiveCopy marks a model without any live or ready copy.
	noLiveCopy urgency = iota
	// onlyOutgoing marks a model whose ready copies are all of an old version or on departing runners.
	onlyOutgoing
	// belowMinimum marks a model with fewer copies than its minimum.
	belowMinimum
)

// missingCopy is one floor copy that has to be placed.
type missingCopy struct {
	model   *object.Model
	urgency urgency
}

// missingCopies returns the missing floor copies ordered by urgency, then by priority and name.
func (f *fleet) missingCopies() []missingCopy {
	var out []missingCopy
	for _, m := range f.in.Config.Models() {
		missing := wantedCopies(m) - f.version(keyOf(m)).live
		for n := range max(0, missing) {
			out = append(out, missingCopy{model: m, urgency: f.urgency(m, n)})
		}
	}
	slices.SortStableFunc(out, func(a, b missingCopy) int {
		return cmp.Or(cmp.Compare(a.urgency, b.urgency), cmp.Compare(b.model.Priority, a.model.Priority),
			cmp.Compare(a.model.Name, b.model.Name))
	})
	return out[:min(len(out), maxMissingCopies)]
}

func (f *fleet) urgency(m *object.Model, nth int) urgency {
	if nth > 0 || f.version(keyOf(m)).live > 0 {
		return belowMinimum
	}
	if f.model(m.Name).ready > 0 {
		return onlyOutgoing
	}
	return noLiveCopy
}

// planFloor assigns each missing copy to one runner. Agents with the same view make the same assignments, so only the
// assigned runner claims; claims of agents with different views are resolved by the fold.
func (f *fleet) planFloor(out *PlanOutput) {
	for _, t := range f.missingCopies() {
		r, found, deferred := f.place(t)
		if found {
			f.planClaim(out, t.model, r)
			continue
		}
		if !deferred {
			f.freeMemoryFor(out, t)
		}
	}
}

func (f *fleet) planClaim(out *PlanOutput, m *object.Model, r Runner) {
	key := keyOf(m)
	floor := f.version(key).floor < wantedCopies(m)
	f.assign(r, key, m.MemoryBytes)
	if floor {
		f.version(key).floor++
	}
	if r.Name != f.in.Self || m.MemoryBytes > f.in.FreeBytes {
		return
	}
	f.in.FreeBytes -= m.MemoryBytes
	out.Claims = append(out.Claims, PlannedClaim{Model: m.Name, Version: m.Version, Bytes: m.MemoryBytes, Floor: floor,
		Wanted: uint32(wantedCopies(m))})
}

// place returns the best runner with enough free memory: the one with the fewest copies of the model version in its
// failure domain, then the highest rank. If the copy should wait because the suitable runners have too many open
// claims, found is false and deferred true. A model without a copy takes any runner; a further copy waits for a runner
// in a better failure domain.
func (f *fleet) place(t missingCopy) (best Runner, found, deferred bool) {
	key := keyOf(t.model)
	var bestIgnoringClaims Runner
	for _, r := range f.targets() {
		if !f.canPlace(r, t.model) || f.freeBytes(r) < t.model.MemoryBytes {
			continue
		}
		if !deferred || f.preferred(r, bestIgnoringClaims, key) {
			bestIgnoringClaims, deferred = r, true
		}
		if f.allocation(r.Name).openClaims < maxOpenClaims && (!found || f.preferred(r, best, key)) {
			best, found = r, true
		}
	}
	worse := f.version(key).inDomain(best.FailureDomain) > f.version(key).inDomain(bestIgnoringClaims.FailureDomain)
	if found && t.urgency == belowMinimum && worse {
		return Runner{}, false, true
	}
	return best, found, deferred
}

func (f *fleet) preferred(a, b Runner, key ModelKey) bool {
	v := f.version(key)
	inA, inB := v.inDomain(a.FailureDomain), v.inDomain(b.FailureDomain)
	if inA != inB {
		return inA < inB
	}
	return rank(key, a.Name, f.epoch) > rank(key, b.Name, f.epoch)
}
