package placement

// Plan decides what the agent of one runner shall claim, release, abandon and load next. It is a pure function:
// equal inputs give equal outputs, and agents with the same snapshot, configuration and host list
// assign each missing copy to the same runner.
//
// It never asks for the release of the last ready copy of a published model; the fold enforces the same
// by Keep when agents act on different snapshots.
func Plan(in PlanInput) PlanOutput { return planWith(in, (*fleet).planSurplus) }

func planWith(in PlanInput, surplus surplusPolicy) PlanOutput {
	out := PlanOutput{}
	if _, ok := in.Snapshot.Runner(in.Self); !ok {
		return out
	}
	f := newFleet(in)
	f.planUnwanted(&out)
	f.planShrink(&out)
	f.planFloor(&out)
	surplus(f, &out)
	f.planLoads(&out)
	return out
}

// planUnwanted releases and abandons own copies that the configuration no longer asks for.
func (f *fleet) planUnwanted(out *PlanOutput) {
	for _, c := range f.in.Snapshot.ByRunner(f.in.Self) {
		if c.State == Claimed && f.unwanted(c) {
			out.Abandons = append(out.Abandons, c.Claim)
			continue
		}
		keep, ok := f.releasable(c)
		if ok {
			f.drop(c)
			out.Releases = append(out.Releases, ReleaseWish{Claim: c.Claim, Keep: keep})
		}
	}
}

func (f *fleet) unwanted(c Copy) bool {
	m, published := f.in.Config.Model(c.Model)
	return !published || m.Version != c.Version || f.departs(c.Runner)
}

// releasable reports whether an unwanted ready copy can go: at once if the model is not published, else when
// enough copies of the current version are ready on runners that stay.
func (f *fleet) releasable(c Copy) (uint32, bool) {
	if c.State != Ready || !f.unwanted(c) {
		return 0, false
	}
	m, published := f.in.Config.Model(c.Model)
	if !published {
		return 0, true
	}
	return uint32(wanted(m)), f.version(keyOf(m)).readyNow >= wanted(m)
}

// planLoads grants turns at the weight store: the first open claim of each of the first StoreConcurrency runners in
// claim order. Runners that depart or are not live do not hold a turn, nor do overdue claims of other runners.
func (f *fleet) planLoads(out *PlanOutput) {
	if len(f.in.Snapshot.OpenLoads()) == 0 {
		return
	}
	skip := map[uint64]bool{}
	for _, claim := range out.Abandons {
		skip[claim] = true
	}
	turns := map[string]bool{}
	for _, c := range f.in.Snapshot.OpenLoads() {
		passed := c.Runner != f.in.Self && f.overdue(c)
		if !f.mayLoad(c.Runner) || turns[c.Runner] || skip[c.Claim] || passed {
			continue
		}
		if len(turns) >= max(1, f.in.StoreConcurrency) {
			return
		}
		turns[c.Runner] = true
		out.Turns = append(out.Turns, c.Claim)
		if c.Runner == f.in.Self {
			out.Load = c.Claim
		}
	}
}
