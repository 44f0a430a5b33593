package placement

// Plan decides what the agent of one runner should claim, release, abandon and load next. It is a pure function: equal
// inputs give equal outputs, and agents with the same snapshot, configuration and host list assign each missing copy
// to the same runner.
//
// It never releases the last ready copy of a published model. When agents act on different snapshots, the fold
// enforces this by the Keep field of the release.
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

// planUnwanted releases and abandons the runner's copies that the configuration no longer requires.
func (f *fleet) planUnwanted(out *PlanOutput) {
	for _, c := range f.in.Snapshot.ByRunner(f.in.Self) {
		if c.State == Claimed && f.unwanted(c) {
			out.Abandons = append(out.Abandons, c.ClaimOffset)
			continue
		}
		keep, ok := f.releasable(c)
		if ok {
			f.markReleased(c)
			out.Releases = append(out.Releases, PlannedRelease{Claim: c.ClaimOffset, Keep: keep})
		}
	}
}

func (f *fleet) unwanted(c Copy) bool {
	m, published := f.in.Config.Model(c.Model)
	return !published || m.Version != c.Version || f.isDeparting(c.Runner)
}

// releasable reports whether an unwanted ready copy can be released: at once if the model is not published, otherwise
// when enough copies of the current version are ready on runners that are not departing. It also returns how many
// other ready copies must remain.
func (f *fleet) releasable(c Copy) (uint32, bool) {
	if c.State != Ready || !f.unwanted(c) {
		return 0, false
	}
	m, published := f.in.Config.Model(c.Model)
	if !published {
		return 0, true
	}
	return uint32(wantedCopies(m)), f.version(keyOf(m)).ready >= wantedCopies(m)
}

// planLoads grants turns at the weight store to the first open claim of each of the first StoreConcurrency runners in
// claim order. Runners that are departing or not live get no turn, nor do overdue claims of other runners.
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
		overdueElsewhere := c.Runner != f.in.Self && f.loadOverdue(c)
		if !f.runnerCanLoad(c.Runner) || turns[c.Runner] || skip[c.ClaimOffset] || overdueElsewhere {
			continue
		}
		if len(turns) >= max(1, f.in.StoreConcurrency) {
			return
		}
		turns[c.Runner] = true
		out.LoadTurns = append(out.LoadTurns, c.ClaimOffset)
		if c.Runner == f.in.Self {
			out.Load = c.ClaimOffset
		}
	}
}
