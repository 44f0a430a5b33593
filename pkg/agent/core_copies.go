package agent

import (
	"slices"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/placement"
)

// Short names for the states of copies.
const (
	claimed  = placement.Claimed
	ready    = placement.Ready
	released = placement.Released
)

// releaseRetryDelay is the time after which a release is appended again if the fold refused it.
const releaseRetryDelay = 5 * time.Second

// nextCopyRecord returns the next record that brings the state of a copy in the log in line with the ledger.
func (c *Core) nextCopyRecord() *ferrypb.PlacementRecord {
	if !c.isEngine() || !c.reportFresh() || c.ledger == nil {
		return nil
	}
	for _, cp := range c.ownCopies() {
		var record *ferrypb.PlacementRecord
		switch cp.State {
		case claimed:
			record = c.recordForClaimed(cp)
		case ready:
			record = c.recordForReady(cp)
		case released:
			record = c.recordForReleased(cp)
		}
		if record != nil {
			return record
		}
	}
	return nil
}

func (c *Core) recordForClaimed(cp placement.Copy) *ferrypb.PlacementRecord {
	item, reserved := c.reservation(cp)
	if reserved && item.Loaded && item.Reported {
		return c.readyRecord(cp.ClaimOffset, c.unsettled(item))
	}
	if reserved {
		return nil
	}
	if !c.fits(0) || slices.Contains(c.planned().Abandons, cp.ClaimOffset) {
		return c.abandonRecord(cp.ClaimOffset)
	}
	return nil
}

func (c *Core) recordForReady(cp placement.Copy) *ferrypb.PlacementRecord {
	item, reserved := c.reservation(cp)
	if !reserved {
		return c.freedRecord(cp.ClaimOffset)
	}
	if !item.Loaded {
		return nil
	}
	if unsettled := c.unsettled(item); unsettled != cp.Unsettled {
		return c.readyRecord(cp.ClaimOffset, unsettled)
	}
	return nil
}

func (c *Core) recordForReleased(cp placement.Copy) *ferrypb.PlacementRecord {
	if _, reserved := c.reservation(cp); reserved {
		return nil
	}
	return c.freedRecord(cp.ClaimOffset)
}

// unsettled reports whether a load order of a copy may still reach the engine. An order whose response is pending
// counts too: if this agent exits before the response arrives, its successor must know that the result is unknown.
func (c *Core) unsettled(item placement.Reservation) bool {
	key, kind, outstanding := c.ledger.Outstanding()
	return item.Unsettled || (outstanding && kind == engine.LoadModel && key == item.Key)
}
