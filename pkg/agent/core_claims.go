package agent

import (
	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/object"
	"trefoilferry.example/ferry/pkg/placement"
)

// nextPlanned returns the next claim or release of the plan. Releases precede claims because they free memory.
// Models that are loaded without a copy are claimed before either.
func (c *Core) nextPlanned() *ferrypb.PlacementRecord {
	if !c.isEngine() || !c.reportFresh() || c.ledger == nil || c.stopping {
		return nil
	}
	if record := c.adoptUnclaimed(); record != nil {
		return record
	}
	plan := c.planned()
	for _, release := range plan.Releases {
		if record := c.tryRelease(release); record != nil {
			return record
		}
	}
	for _, claim := range plan.Claims {
		if c.fits(claim.Bytes) {
			return c.claimRecord(claim, false)
		}
	}
	return nil
}

// adoptUnclaimed claims a model that is loaded in the engine although the placement records show no copy of it.
func (c *Core) adoptUnclaimed() *ferrypb.PlacementRecord {
	for _, m := range c.report.Models {
		if c.hasCopyOfModel(m.Model) || !c.adoptable(m) {
			continue
		}
		model, _ := c.config.Model(m.Model)
		claim := placement.PlannedClaim{Model: model.Name, Version: model.Version, Bytes: m.Bytes,
			Floor: c.needsFloorCopy(model), Wanted: wantedCopies(model)}
		return c.claimRecord(claim, true)
	}
	return nil
}

func wantedCopies(model *object.Model) uint32 { return uint32(max(1, model.MinCopies)) }

// adoptable reports whether a loaded model without a copy can be claimed instead of unloaded.
func (c *Core) adoptable(m engine.LoadedModel) bool {
	model, ok := c.config.Model(m.Model)
	if !ok || model.Version != m.Version || c.runnerDraining() || c.stopping || !c.regionPermits(m.Model) {
		return false
	}
	item, reserved := c.ledger.Reservation(placement.ModelKey{Model: m.Model, Version: m.Version})
	return reserved && item.Loaded && !item.Freeing && c.fits(0)
}

// needsFloorCopy reports whether a model has fewer floor copies than the configuration requires.
func (c *Core) needsFloorCopy(model *object.Model) bool {
	floor := uint32(0)
	for _, other := range c.placement.Copies(model.Name) {
		if other.Floor && other.State != released && other.Version == model.Version {
			floor++
		}
	}
	return floor < wantedCopies(model)
}

func (c *Core) claimRecord(planned placement.PlannedClaim, loaded bool) *ferrypb.PlacementRecord {
	claim := &ferrypb.Claim{
		Model:         planned.Model,
		Version:       planned.Version,
		Runner:        c.id.Runner,
		Fencing:       c.fencing,
		Bytes:         planned.Bytes,
		Kind:          ferrypb.ClaimKind_CLAIM_KIND_SURPLUS,
		Wanted:        planned.Wanted,
		FailureDomain: c.id.FailureDomain,
		Region:        c.id.Region,
		Loaded:        loaded,
	}
	if planned.Floor {
		claim.Kind = ferrypb.ClaimKind_CLAIM_KIND_FLOOR
	}
	return &ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_Claim{Claim: claim}}
}

// tryRelease returns a Release record; nil if the fold would refuse it or if one was appended less than
// releaseRetryDelay ago.
func (c *Core) tryRelease(release placement.PlannedRelease) *ferrypb.PlacementRecord {
	cp, ok := c.placement.Copy(release.Claim)
	if !ok || cp.State != ready || len(c.placement.Ready(cp.Model))-1 < int(release.Keep) {
		return nil
	}
	if at, tried := c.demand.releaseTriedAt[release.Claim]; tried && c.now.Sub(at) < releaseRetryDelay {
		return nil
	}
	c.demand.releaseTriedAt[release.Claim] = c.now
	return c.releaseRecord(release.Claim, release.Keep)
}

// regionPermits reports whether the placement objects permit copies of the model in this agent's region.
func (c *Core) regionPermits(model string) bool {
	for _, p := range c.config.Placements() {
		if p.Model != model || len(p.Regions) == 0 {
			continue
		}
		permitted := false
		for _, region := range p.Regions {
			permitted = permitted || region == c.id.Region
		}
		if !permitted {
			return false
		}
	}
	return true
}
