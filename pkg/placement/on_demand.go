package placement

import (
	"cmp"
	"slices"

	"trefoilferry.example/ferry/pkg/object"
)

// loadOnDemand adds a copy for every hint, whatever it costs, and releases the surplus copies that were used
// least recently where memory is short.
func (f *fleet) loadOnDemand(out *PlanOutput) {
	self, ok := f.self()
	if !ok {
		return
	}
	room := min(f.in.FreeBytes, f.free(self))
	for _, d := range f.in.Demands {
		m, published := f.in.Config.Model(d.Model)
		if !published || f.in.Now.Sub(d.At) > demandAge || !f.allowed(self, m) {
			continue
		}
		if room < m.Bytes {
			f.evictFor(self, m, room, out)
			return
		}
		room -= m.Bytes
		f.assign(self, keyOf(m), m.Bytes)
		out.Claims = append(out.Claims, ClaimWish{Model: m.Name, Version: m.Version, Bytes: m.Bytes, Wanted: uint32(wanted(m))})
	}
}

// evictFor releases surplus copies until the model fits; the claim follows when the memory is free.
// Nothing is released when all surplus copies together are too small.
func (f *fleet) evictFor(self Runner, m *object.Model, room uint64, out *PlanOutput) {
	room += f.releasing(self)
	victims := f.victims(self, short)
	slices.SortStableFunc(victims, func(a, b victim) int {
		return cmp.Or(f.usage(a.copy).LastUsed.Compare(f.usage(b.copy).LastUsed), cmp.Compare(a.copy.Claim, b.copy.Claim))
	})
	var wishes []ReleaseWish
	for _, v := range victims {
		if room >= m.Bytes {
			break
		}
		room += v.copy.Bytes
		wishes = append(wishes, ReleaseWish{Claim: v.copy.Claim, Keep: v.keep})
	}
	if room >= m.Bytes {
		out.Releases = append(out.Releases, wishes...)
	}
}
