package placement

// planShrink releases the runner's copies while they exceed its memory for models, which becomes smaller when larger
// adapters are published. The last ready copy of a model is kept.
func (f *fleet) planShrink(out *PlanOutput) {
	own, _ := f.in.Snapshot.Runner(f.in.Self)
	if f.allocation(own.Name).usedBytes <= own.MemoryBytes {
		return
	}
	self, ok := f.self()
	if !ok {
		return
	}
	for _, v := range f.victims(self, noLiveCopy) {
		if f.allocation(self.Name).usedBytes <= self.MemoryBytes+f.releasingBytes(self) {
			return
		}
		f.markReleased(v.copy)
		out.Releases = append(out.Releases, PlannedRelease{Claim: v.copy.ClaimOffset, Keep: v.keep})
	}
}
