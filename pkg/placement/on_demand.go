package placement

import (
	"cmp"
	"slices"

	"trefoilferry.example/ferry/pkg/object"
)

// planOnDemand adds a copy for every hint regardless of its cost, and releases the least recently used surplus copies
// where memory is short.
func (f *fleet) planOnDemand(out *PlanOutput) {
	self, ok := f.self()
	if !ok {
		return
	}
	available := min(f.in.FreeBytes, f.freeBytes(self))
	for _, d := range f.in.Demands {
		m, published := f.in.Config.Model(d.Model)
		if !published || f.in.Now.Sub(d.At) > maxDemandAge || !f.canPlace(self, m) {
			continue
		}
		if available < m.MemoryBytes {
			f.evictFor(self, m, available, out)
			return
		}
		available -= m.MemoryBytes
		f.assign(self, keyOf(m), m.MemoryBytes)
		out.Claims = append(out.Claims, PlannedClaim{Model: m.Name, Version: m.Version, Bytes: m.MemoryBytes, Wanted: uint32(wantedCopies(m))})
	}
}

// evictFor releases surplus copies until the model fits; the model is claimed in a later round, when the memory is
// free. Nothing is released if all surplus copies together are too small.
func (f *fleet) evictFor(self Runner, m *object.Model, available uint64, out *PlanOutput) {
	available += f.releasingBytes(self)
	victims := f.victims(self, belowMinimum)
	slices.SortStableFunc(victims, func(a, b victim) int {
		return cmp.Or(f.usage(a.copy).LastUsed.Compare(f.usage(b.copy).LastUsed), cmp.Compare(a.copy.ClaimOffset, b.copy.ClaimOffset))
	})
	var wishes []PlannedRelease
	for _, v := range victims {
		if available >= m.MemoryBytes {
			break
		}
		available += v.copy.Bytes
		wishes = append(wishes, PlannedRelease{Claim: v.copy.ClaimOffset, Keep: v.keep})
	}
	if available >= m.MemoryBytes {
		out.Releases = append(out.Releases, wishes...)
	}
}
