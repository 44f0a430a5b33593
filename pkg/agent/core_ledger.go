package agent

import (
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/placement"
	"trefoilferry.example/ferry/pkg/timeline"
)

// openLedger starts the memory accounting at the first fencing number and adopts what earlier incarnations left.
func (c *Core) openLedger() {
	if c.ledger != nil {
		c.ledger.SetFencing(c.fencing)
		c.followCapacity()
		return
	}
	c.ledger = placement.NewLedger(c.capacity(), c.fencing)
	for _, own := range c.own() {
		c.ledger.Adopt(own)
	}
	if c.exitedFencing > 0 {
		c.ledger.PredecessorExited(c.exitedFencing)
	}
	if !c.reportAt.IsZero() {
		c.ledger.Report(c.report)
	}
}

func keyOf(own placement.Copy) placement.Key {
	return placement.Key{Model: own.Model, Version: own.Version}
}

// item returns the accounting of a copy; false when nothing is reserved for it.
func (c *Core) item(own placement.Copy) (placement.Item, bool) {
	if c.ledger == nil {
		return placement.Item{}, false
	}
	return c.ledger.Get(keyOf(own))
}

// freeBytes returns the memory that a further claim may take. Accepted claims count as taken although their load
// was not ordered yet.
func (c *Core) freeBytes() uint64 {
	pending := c.pendingBytes()
	if c.ledger == nil || c.ledger.Free() < pending {
		return 0
	}
	return c.ledger.Free() - pending
}

// fits reports whether a further claim of that size leaves the memory uncommitted beyond its size.
func (c *Core) fits(bytes uint64) bool {
	return c.ledger != nil && c.ledger.CanLoad(bytes+c.pendingBytes())
}

func (c *Core) pendingBytes() uint64 {
	total := uint64(0)
	for _, own := range c.own() {
		if _, reserved := c.item(own); !reserved && own.State == claimed {
			total += own.Bytes
		}
	}
	return total
}

func (c *Core) committed() uint64 {
	if c.ledger == nil {
		return 0
	}
	return c.ledger.Committed()
}

func (c *Core) held() uint64 {
	if c.ledger == nil {
		return 0
	}
	return c.ledger.Held()
}

func (c *Core) reportHeld() {
	held := c.held()
	if held == c.heldBytes {
		return
	}
	event, kind := eventlog.MemoryHeld, timeline.MemoryHeld
	if held < c.heldBytes {
		event, kind = eventlog.MemoryReleased, timeline.MemoryReleased
	}
	c.heldBytes = held
	c.log(event, "held_bytes", held)
	c.note(kind, "runner/"+c.id.Runner, "")
}

// refenceDue reports whether load orders without an answer must be voided by a new fencing number.
// It asks for one number per ResendAfter, since each costs an AgentStart record.
func (c *Core) refenceDue() bool {
	if !c.id.HonoursFencing || c.ledger == nil || !c.fenceAcked || c.order != nil {
		return false
	}
	unsettled := false
	for _, item := range c.ledger.Items() {
		unsettled = unsettled || item.Unsettled
	}
	if !unsettled {
		c.unsettledAt = time.Time{}
		return false
	}
	if c.unsettledAt.IsZero() {
		c.unsettledAt = c.now
	}
	return c.now.Sub(c.unsettledAt) >= c.limits.ResendAfter
}
