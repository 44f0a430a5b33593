package agent

import (
	"slices"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/placement"
)

// States of copies, named locally for short conditions.
const (
	claimed  = placement.Claimed
	ready    = placement.Ready
	released = placement.Released
)

// releasePause is the pause before a release that the records refused is asked for again.
const releasePause = 5 * time.Second

// nextOwnRecord returns the record that the state of an own copy asks for.
func (c *Core) nextOwnRecord() *ferrypb.PlacementRecord {
	if !c.isEngine() || !c.engineKnown() || c.ledger == nil {
		return nil
	}
	for _, own := range c.own() {
		var record *ferrypb.PlacementRecord
		switch own.State {
		case claimed:
			record = c.claimedRecord(own)
		case ready:
			record = c.readyCopyRecord(own)
		case released:
			record = c.releasedRecord(own)
		}
		if record != nil {
			return record
		}
	}
	return nil
}

func (c *Core) claimedRecord(own placement.Copy) *ferrypb.PlacementRecord {
	item, reserved := c.item(own)
	if reserved && item.Loaded && item.Reported {
		return c.readyRecord(own.Claim, item.Unsettled)
	}
	if reserved {
		return nil
	}
	if !c.fits(0) || slices.Contains(c.planned().Abandons, own.Claim) {
		return c.abandonRecord(own.Claim)
	}
	return nil
}

func (c *Core) readyCopyRecord(own placement.Copy) *ferrypb.PlacementRecord {
	item, reserved := c.item(own)
	if !reserved {
		return c.freedRecord(own.Claim)
	}
	if !item.Loaded {
		return nil
	}
	if item.Unsettled != own.Unsettled {
		return c.readyRecord(own.Claim, item.Unsettled)
	}
	return nil
}

func (c *Core) releasedRecord(own placement.Copy) *ferrypb.PlacementRecord {
	if _, reserved := c.item(own); reserved {
		return nil
	}
	return c.freedRecord(own.Claim)
}
