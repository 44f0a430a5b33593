package agent

import (
	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/object"
	"trefoilferry.example/ferry/pkg/placement"
)

// nextPlanned returns the next claim or release that the plan asks for. Releases come first, since they make room.
func (c *Core) nextPlanned() *ferrypb.PlacementRecord {
	if !c.isEngine() || !c.engineKnown() || c.ledger == nil || c.stopping {
		return nil
	}
	if record := c.adoptStray(); record != nil {
		return record
	}
	plan := c.planned()
	for _, wish := range plan.Releases {
		if record := c.tryRelease(wish); record != nil {
			return record
		}
	}
	for _, wish := range plan.Claims {
		if c.fits(wish.Bytes) {
			return c.claimRecord(wish, false)
		}
	}
	return nil
}

// adoptStray claims a model that the engine holds without a copy in the records.
func (c *Core) adoptStray() *ferrypb.PlacementRecord {
	for _, m := range c.report.Models {
		if c.holdsModel(m.Model) || !c.adoptable(m) {
			continue
		}
		model, _ := c.set.Model(m.Model)
		wish := placement.ClaimWish{Model: model.Name, Version: model.Version, Bytes: m.Bytes,
			Floor: c.lacksFloor(model), Wanted: wantedCopies(model)}
		return c.claimRecord(wish, true)
	}
	return nil
}

func wantedCopies(model *object.Model) uint32 { return uint32(max(1, model.MinCopies)) }

// adoptable reports whether a loaded model without a copy is worth a claim.
func (c *Core) adoptable(m engine.LoadedModel) bool {
	model, ok := c.set.Model(m.Model)
	if !ok || model.Version != m.Version || c.handingOver() || c.stopping || !c.regionPermits(m.Model) {
		return false
	}
	item, reserved := c.ledger.Get(placement.Key{Model: m.Model, Version: m.Version})
	return reserved && item.Loaded && !item.Freeing && c.fits(0)
}

// lacksFloor reports whether a model has fewer floor copies than wanted.
func (c *Core) lacksFloor(model *object.Model) bool {
	floor := uint32(0)
	for _, other := range c.placement.Copies(model.Name) {
		if other.Floor && other.State != released && other.Version == model.Version {
			floor++
		}
	}
	return floor < wantedCopies(model)
}

func (c *Core) claimRecord(wish placement.ClaimWish, loaded bool) *ferrypb.PlacementRecord {
	claim := &ferrypb.Claim{
		Model:         wish.Model,
		Version:       wish.Version,
		Runner:        c.id.Runner,
		Fencing:       c.fencing,
		Bytes:         wish.Bytes,
		Kind:          ferrypb.ClaimKind_CLAIM_KIND_SURPLUS,
		Wanted:        wish.Wanted,
		FailureDomain: c.id.FailureDomain,
		Region:        c.id.Region,
		Loaded:        loaded,
	}
	if wish.Floor {
		claim.Kind = ferrypb.ClaimKind_CLAIM_KIND_FLOOR
	}
	return &ferrypb.PlacementRecord{Record: &ferrypb.PlacementRecord_Claim{Claim: claim}}
}

// tryRelease asks for a release unless the records show that it would be refused or one was asked for just now.
func (c *Core) tryRelease(wish placement.ReleaseWish) *ferrypb.PlacementRecord {
	own, ok := c.placement.Copy(wish.Claim)
	if !ok || own.State != ready || len(c.placement.Ready(own.Model))-1 < int(wish.Keep) {
		return nil
	}
	if at, asked := c.demand.releaseAt[wish.Claim]; asked && c.now.Sub(at) < releasePause {
		return nil
	}
	c.demand.releaseAt[wish.Claim] = c.now
	return c.releaseRecord(wish.Claim, wish.Keep)
}

// regionPermits reports whether the placement objects permit copies of the model in the own region.
func (c *Core) regionPermits(model string) bool {
	for _, p := range c.set.Placements() {
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
