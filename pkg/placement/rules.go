package placement

import "trefoilferry.example/ferry/api/ferrypb"

// agentStart makes the record's sender the current incarnation of its runner. The predecessor's copies stay and are
// adopted by the successor.
func (f *Fold) agentStart(offset uint64, s *ferrypb.AgentStart) bool {
	if s.GetRunner() == "" {
		return false
	}
	f.runners[s.Runner] = &runnerEntry{start: s, fencing: offset}
	return true
}

// isCurrent reports whether fencing is the token of the runner's current incarnation.
func (f *Fold) isCurrent(runner string, fencing uint64) bool {
	r, ok := f.runners[runner]
	return ok && r.fencing == fencing
}

// claim accepts a claim by the current incarnation for a version of which the runner has no live copy. A floor claim
// is refused if the version already has the wanted number of live floor copies.
func (f *Fold) claim(offset uint64, c *ferrypb.Claim) bool {
	if c.GetModel() == "" || !f.isCurrent(c.Runner, c.Fencing) {
		return false
	}
	floor := uint32(0)
	for _, o := range f.byModel[c.Model] {
		other := f.copies[o]
		if !other.live() || other.claim.Version != c.Version {
			continue
		}
		if other.claim.Runner == c.Runner {
			return false
		}
		if other.claim.Kind == ferrypb.ClaimKind_CLAIM_KIND_FLOOR {
			floor++
		}
	}
	if c.Kind == ferrypb.ClaimKind_CLAIM_KIND_FLOOR && floor >= c.Wanted {
		return false
	}
	entry := &copyEntry{offset: offset, claim: c, state: Claimed}
	if c.Loaded {
		entry.state = Ready
	}
	f.add(entry)
	return true
}

// ownCopy returns the copy of a claim if the record was sent by the current incarnation of the copy's runner.
func (f *Fold) ownCopy(claim uint64, runner string, fencing uint64) (*copyEntry, bool) {
	c, ok := f.copies[claim]
	if !ok || c.claim.Runner != runner || !f.isCurrent(runner, fencing) {
		return nil, false
	}
	return c, true
}

func (f *Fold) ready(r *ferrypb.Ready) bool {
	c, ok := f.ownCopy(r.GetClaim(), r.GetRunner(), r.GetFencing())
	if !ok || c.state == Released {
		return false
	}
	c.state = Ready
	c.unsettled = r.Unsettled
	return true
}

// release accepts a release only if at least Keep other ready copies of the model remain, of any version. Among agents
// that release at once, the order of the log decides.
func (f *Fold) release(r *ferrypb.Release) bool {
	c, ok := f.ownCopy(r.GetClaim(), r.GetRunner(), r.GetFencing())
	if !ok || c.state != Ready {
		return false
	}
	others := uint32(0)
	for _, o := range f.byModel[c.claim.Model] {
		if o != c.offset && f.copies[o].state == Ready {
			others++
		}
	}
	if others < r.Keep {
		return false
	}
	c.state = Released
	return true
}

// freed removes a copy in any state, because the engine's report is authoritative, also when the engine lost the
// model.
func (f *Fold) freed(r *ferrypb.Freed) bool {
	c, ok := f.ownCopy(r.GetClaim(), r.GetRunner(), r.GetFencing())
	if !ok {
		return false
	}
	f.remove(c)
	return true
}

// abandon removes a claim whose load was abandoned before the copy was ready.
func (f *Fold) abandon(r *ferrypb.Abandon) bool {
	c, ok := f.ownCopy(r.GetClaim(), r.GetRunner(), r.GetFencing())
	if !ok || c.state != Claimed {
		return false
	}
	f.remove(c)
	return true
}

// evict removes a runner and its copies. The record names the fencing token, so that a late record does not affect a
// successor. The runner's entry is removed too, which bounds the state while hosts come and go; an evicted agent that
// is still alive announces itself again.
func (f *Fold) evict(r *ferrypb.Evict) bool {
	if !f.isCurrent(r.GetRunner(), r.GetFencing()) {
		return false
	}
	delete(f.runners, r.Runner)
	for _, c := range f.copiesOf(r.Runner) {
		f.remove(c)
	}
	return true
}

func (f *Fold) copiesOf(runner string) []*copyEntry {
	var out []*copyEntry
	for _, c := range f.copies {
		if c.claim.Runner == runner {
			out = append(out, c)
		}
	}
	return out
}
