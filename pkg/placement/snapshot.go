package placement

import (
	"cmp"
	"maps"
	"slices"

	"trefoilferry.example/ferry/api/ferrypb"
)

// Snapshot is an immutable view of the fold. Callers must not change the returned slices.
type Snapshot struct {
	offset   uint64
	ready    map[string][]Copy
	copies   map[string][]Copy
	byRunner map[string][]Copy
	byClaim  map[uint64]Copy
	runners  map[string]Runner
	names    []string
	open     []Copy
}

// Snapshot returns a view of the current state. Snapshots with no accepted record between them share their content.
func (f *Fold) Snapshot() *Snapshot {
	if f.snapshot == nil || f.snapshot.offset != f.offset {
		f.snapshot = f.build()
	}
	return f.snapshot
}

func (f *Fold) build() *Snapshot {
	if old := f.snapshot; old != nil {
		next := *old
		next.offset = f.offset
		return &next
	}
	s := &Snapshot{offset: f.offset, ready: map[string][]Copy{}, copies: map[string][]Copy{},
		byRunner: map[string][]Copy{}, byClaim: map[uint64]Copy{}, runners: map[string]Runner{}}
	for name, r := range f.runners {
		s.runners[name] = r.view()
	}
	s.names = slices.Sorted(maps.Keys(s.runners))
	for _, offset := range slices.Sorted(maps.Keys(f.copies)) {
		s.add(f.copies[offset])
	}
	return s
}

func (s *Snapshot) add(e *copyEntry) {
	c := e.view(s.runners[e.claim.Runner])
	s.byClaim[c.ClaimOffset] = c
	s.copies[c.Model] = append(s.copies[c.Model], c)
	s.byRunner[c.Runner] = append(s.byRunner[c.Runner], c)
	switch c.State {
	case Ready:
		s.ready[c.Model] = append(s.ready[c.Model], c)
	case Claimed:
		s.open = append(s.open, c)
	}
}

func (r *runnerEntry) view() Runner {
	s := r.start
	return Runner{Name: s.Runner, Incarnation: s.Incarnation, Address: s.Address, Region: s.Region,
		FailureDomain: s.FailureDomain, Fencing: r.fencing, MemoryBytes: s.MemoryBytes,
		Accelerators: s.Accelerators, Service: s.Service, AdapterSlots: s.AdapterSlots}
}

func (c *copyEntry) view(r Runner) Copy {
	return Copy{ClaimOffset: c.offset, Model: c.claim.Model, Version: c.claim.Version, Runner: c.claim.Runner,
		Address: r.Address, Region: r.Region, FailureDomain: r.FailureDomain, State: c.state,
		Fencing: r.Fencing, ClaimFencing: c.claim.Fencing, Bytes: c.claim.Bytes,
		Floor: c.claim.Kind == ferrypb.ClaimKind_CLAIM_KIND_FLOOR, Unsettled: c.unsettled}
}

// Offset returns the offset of the last record that the snapshot includes.
func (s *Snapshot) Offset() uint64 { return s.offset }

// Ready returns the ready copies of a model in claim order.
func (s *Snapshot) Ready(model string) []Copy { return s.ready[model] }

// Copies returns all copies of a model in claim order.
func (s *Snapshot) Copies(model string) []Copy { return s.copies[model] }

// ByRunner returns all copies of a runner in claim order.
func (s *Snapshot) ByRunner(runner string) []Copy { return s.byRunner[runner] }

// Copy returns the copy with that claim offset; false means that the claim was refused or has ended.
func (s *Snapshot) Copy(claim uint64) (Copy, bool) {
	c, ok := s.byClaim[claim]
	return c, ok
}

// Runner returns the current incarnation of a runner; false if it never started or was evicted.
func (s *Snapshot) Runner(name string) (Runner, bool) {
	r, ok := s.runners[name]
	return r, ok
}

// Runners returns all runners ordered by name.
func (s *Snapshot) Runners() []Runner {
	out := make([]Runner, 0, len(s.names))
	for _, name := range s.names {
		out = append(out, s.runners[name])
	}
	return out
}

// Models returns the names of all models with copies, sorted.
func (s *Snapshot) Models() []string { return slices.Sorted(maps.Keys(s.copies)) }

// OpenLoads returns the claims whose load is not finished, in log order.
func (s *Snapshot) OpenLoads() []Copy { return s.open }

// ServiceRunners returns the runners of a plain service ordered by name.
func (s *Snapshot) ServiceRunners(service string) []Runner {
	var out []Runner
	for _, r := range s.Runners() {
		if r.Service == service {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Runner) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
