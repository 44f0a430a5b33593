package placement

// planShrink releases own copies while the runner holds more than its memory for models, which shrinks when larger
// adapters are published. The last ready copy of a model stays.
func (f *fleet) planShrink(out *PlanOutput) {
	own, _ := f.in.Snapshot.Runner(f.in.Self)
	if f.load(own.Name).used <= own.MemoryBytes {
		return
	}
	self, ok := f.self()
	if !ok {
		return
	}
	for _, v := range f.victims(self, lost) {
		if f.load(self.Name).used <= self.MemoryBytes+f.releasing(self) {
			return
		}
		f.drop(v.copy)
		out.Releases = append(out.Releases, ReleaseWish{Claim: v.copy.Claim, Keep: v.keep})
	}
}
