package agent

import (
	"slices"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/engine"
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
		return c.readyRecord(own.Claim, c.unsettled(item))
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
	if unsettled := c.unsettled(item); unsettled != own.Unsettled {
		return c.readyRecord(own.Claim, unsettled)
	}
	return nil
}

func (c *Core) releasedRecord(own placement.Copy) *ferrypb.PlacementRecord {
	if _, reserved := c.item(own); reserved {
		return nil
	}
	return c.freedRecord(own.Claim)
}

// unsettled reports whether a load order of a copy may still reach the engine. An order that waits for its answer counts
// too: a successor would otherwise not know that its sender never saw the answer.
func (c *Core) unsettled(item placement.Item) bool {
	key, kind, outstanding := c.ledger.Outstanding()
	return item.Unsettled || (outstanding && kind == engine.LoadModel && key == item.Key)
}
