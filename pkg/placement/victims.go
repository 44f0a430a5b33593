package placement

import (
	"cmp"
	"slices"
)

// Costs of releasing one copy to free memory. One copy of a more expensive class costs more than any number of copies
// of the cheaper classes.
const (
	costNone    = 0
	costSurplus = 1
	costFloor   = 1000
)

// victim is a ready copy that can be released; keep is the number of other ready copies that must remain.
type victim struct {
	copy Copy
	cost int
	keep uint32
}

// freeMemoryFor finds the runner on which freeing memory for the missing copy costs least, and releases copies there.
// The missing copy is claimed in a later round, when the memory is free.
func (f *fleet) freeMemoryFor(out *PlanOutput, t missingCopy) {
	var best Runner
	var chosen []victim
	bestCost := -1
	for _, r := range f.targets() {
		if !f.canPlace(r, t.model) || r.MemoryBytes < t.model.MemoryBytes {
			continue
		}
		victims, cost, ok := f.victimsFor(r, t)
		if !ok {
			continue
		}
		key := keyOf(t.model)
		better := rank(key, r.Name, 0) > rank(key, best.Name, 0)
		if bestCost < 0 || cost < bestCost || (cost == bestCost && better) {
			best, chosen, bestCost = r, victims, cost
		}
	}
	if bestCost < 0 {
		return
	}
	// The memory to be freed is already assigned, so that a further missing copy is placed elsewhere.
	f.assign(best, keyOf(t.model), t.model.MemoryBytes)
	for _, v := range chosen {
		f.markReleased(v.copy)
		if best.Name == f.in.Self {
			out.Releases = append(out.Releases, PlannedRelease{Claim: v.copy.ClaimOffset, Keep: v.keep})
		}
	}
}

// victimsFor returns the copies of a runner to release so that the missing copy fits, cheapest first, and their total
// cost.
func (f *fleet) victimsFor(r Runner, t missingCopy) ([]victim, int, bool) {
	available := r.MemoryBytes
	if f.allocation(r.Name).usedBytes > r.MemoryBytes {
		return nil, 0, false
	}
	available -= f.allocation(r.Name).usedBytes
	available += f.releasingBytes(r)
	var chosen []victim
	cost := 0
	for _, v := range f.victims(r, t.urgency) {
		if available >= t.model.MemoryBytes {
			break
		}
		available += v.copy.Bytes
		cost += v.cost
		chosen = append(chosen, v)
	}
	return chosen, cost, available >= t.model.MemoryBytes
}

// releasingBytes returns the bytes of a runner's copies that are being released.
func (f *fleet) releasingBytes(r Runner) uint64 {
	total := uint64(0)
	for _, c := range f.in.Snapshot.ByRunner(r.Name) {
		if c.State == Released && !c.Unsettled || f.released[c.ClaimOffset] {
			total += c.Bytes
		}
	}
	return total
}

func (f *fleet) victims(r Runner, u urgency) []victim {
	var out []victim
	taken := map[string]int{}
	for _, c := range f.leastUsedFirst(r) {
		v, ok := f.victim(c, u, taken[c.Model])
		if ok {
			taken[c.Model]++
			out = append(out, v)
		}
	}
	slices.SortStableFunc(out, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
	return out
}

// leastUsedFirst returns the copies of a runner. Those of the agent's own runner, whose use is known, are ordered by
// request rate, lowest first.
func (f *fleet) leastUsedFirst(r Runner) []Copy {
	copies := slices.Clone(f.in.Snapshot.ByRunner(r.Name))
	if r.Name != f.in.Self {
		return copies
	}
	slices.SortStableFunc(copies, func(a, b Copy) int {
		return cmp.Compare(f.usage(a).RatePerSecond, f.usage(b).RatePerSecond)
	})
	return copies
}

func (f *fleet) usage(c Copy) Usage { return f.in.Usage[ModelKey{Model: c.Model, Version: c.Version}] }

// victim returns the cost of releasing a copy, or false if it must stay; taken is the number of copies of the model
// that are already chosen.
func (f *fleet) victim(c Copy, u urgency, taken int) (victim, bool) {
	if c.State != Ready || f.released[c.ClaimOffset] || c.Unsettled || f.usage(c).Pinned {
		return victim{}, false
	}
	m, published := f.in.Config.Model(c.Model)
	if !published {
		return victim{copy: c, cost: costNone, keep: 0}, true
	}
	others := f.model(c.Model).ready - taken - 1
	if others < 1 {
		return victim{}, false
	}
	spare := f.version(keyOf(m)).ready - taken
	if c.Version == m.Version {
		spare--
	}
	if spare >= wantedCopies(m) {
		return victim{copy: c, cost: costSurplus, keep: uint32(wantedCopies(m))}, true
	}
	if u == belowMinimum {
		return victim{}, false
	}
	return victim{copy: c, cost: costFloor, keep: 1}, true
}
