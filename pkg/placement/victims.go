package placement

import (
	"cmp"
	"slices"
)

// Costs of releasing a copy to make room; a larger class is never preferred to any number of smaller ones.
const (
	costNone    = 0
	costSurplus = 1
	costFloor   = 1000
)

// victim is a ready copy that can be released.
type victim struct {
	copy Copy
	cost int
	keep uint32
}

// makeRoom finds the runner where the missing copy costs least and releases copies there. The copy is
// claimed in a later round, when the memory is free.
func (f *fleet) makeRoom(out *PlanOutput, t task) {
	var best Runner
	var chosen []victim
	bestCost := -1
	for _, r := range f.targets() {
		if !f.allowed(r, t.model) || r.MemoryBytes < t.model.Bytes {
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
	// The memory to come is spoken for, so that a further missing copy looks elsewhere.
	f.assign(best, keyOf(t.model), t.model.Bytes)
	for _, v := range chosen {
		f.drop(v.copy)
		if best.Name == f.in.Self {
			out.Releases = append(out.Releases, ReleaseWish{Claim: v.copy.Claim, Keep: v.keep})
		}
	}
}

// victimsFor returns the copies of a runner whose release makes room for the task, cheapest first.
func (f *fleet) victimsFor(r Runner, t task) ([]victim, int, bool) {
	room := r.MemoryBytes
	if f.load(r.Name).used > r.MemoryBytes {
		return nil, 0, false
	}
	room -= f.load(r.Name).used
	room += f.releasing(r)
	var chosen []victim
	cost := 0
	for _, v := range f.victims(r, t.urgency) {
		if room >= t.model.Bytes {
			break
		}
		room += v.copy.Bytes
		cost += v.cost
		chosen = append(chosen, v)
	}
	return chosen, cost, room >= t.model.Bytes
}

// releasing returns the bytes of a runner that are on their way to being free.
func (f *fleet) releasing(r Runner) uint64 {
	total := uint64(0)
	for _, c := range f.in.Snapshot.ByRunner(r.Name) {
		if c.State == Released && !c.Unsettled || f.released[c.Claim] {
			total += c.Bytes
		}
	}
	return total
}

func (f *fleet) victims(r Runner, u urgency) []victim {
	var out []victim
	taken := map[string]int{}
	for _, c := range f.byValue(r) {
		v, ok := f.victim(c, u, taken[c.Model])
		if ok {
			taken[c.Model]++
			out = append(out, v)
		}
	}
	slices.SortStableFunc(out, func(a, b victim) int { return cmp.Compare(a.cost, b.cost) })
	return out
}

// byValue returns the ready copies of a runner, least used first where the use is known.
func (f *fleet) byValue(r Runner) []Copy {
	copies := slices.Clone(f.in.Snapshot.ByRunner(r.Name))
	if r.Name != f.in.Self {
		return copies
	}
	slices.SortStableFunc(copies, func(a, b Copy) int {
		return cmp.Compare(f.usage(a).RatePerSecond, f.usage(b).RatePerSecond)
	})
	return copies
}

func (f *fleet) usage(c Copy) Usage { return f.in.Usage[Key{Model: c.Model, Version: c.Version}] }

// victim classifies a copy; taken is the number of copies of the model that are already chosen.
func (f *fleet) victim(c Copy, u urgency, taken int) (victim, bool) {
	if c.State != Ready || f.released[c.Claim] || c.Unsettled || f.usage(c).Pinned {
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
	spare := f.version(keyOf(m)).readyNow - taken
	if c.Version == m.Version {
		spare--
	}
	if spare >= wanted(m) {
		return victim{copy: c, cost: costSurplus, keep: uint32(wanted(m))}, true
	}
	if u == short {
		return victim{}, false
	}
	return victim{copy: c, cost: costFloor, keep: 1}, true
}
