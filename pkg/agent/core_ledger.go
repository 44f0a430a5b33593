package agent

import (
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/placement"
	"trefoilferry.example/ferry/pkg/timeline"
)

// initLedger creates the memory ledger when the first fencing token is known and adopts the copies of earlier
// incarnations. Later calls only update the fencing token and the capacity.
func (c *Core) initLedger() {
	if c.ledger != nil {
		c.ledger.SetFencing(c.fencing)
		c.updateCapacity()
		return
	}
	c.ledger = placement.NewLedger(c.capacity(), c.fencing)
	for _, cp := range c.ownCopies() {
		c.ledger.Adopt(cp)
	}
	if c.predecessorFencing > 0 {
		c.ledger.PredecessorExited(c.predecessorFencing)
	}
	if !c.reportAt.IsZero() {
		c.ledger.ApplyReport(c.report)
	}
}

func keyOf(cp placement.Copy) placement.ModelKey {
	return placement.ModelKey{Model: cp.Model, Version: cp.Version}
}

// reservation returns the ledger entry of a copy; false if no memory is reserved for it.
func (c *Core) reservation(cp placement.Copy) (placement.Reservation, bool) {
	if c.ledger == nil {
		return placement.Reservation{}, false
	}
	return c.ledger.Reservation(keyOf(cp))
}

// freeBytes returns the memory available for further claims. Accepted claims count as used even before their load
// order has been sent.
func (c *Core) freeBytes() uint64 {
	pending := c.pendingBytes()
	if c.ledger == nil || c.ledger.FreeBytes() < pending {
		return 0
	}
	return c.ledger.FreeBytes() - pending
}

// fits reports whether a further claim of the given size can be made without overcommitting the memory. With size 0 it
// reports whether the present claims fit.
func (c *Core) fits(bytes uint64) bool {
	return c.ledger != nil && c.ledger.CanLoad(bytes+c.pendingBytes())
}

// pendingBytes returns the size of the claimed copies for which the ledger has no reservation yet.
func (c *Core) pendingBytes() uint64 {
	total := uint64(0)
	for _, cp := range c.ownCopies() {
		if _, reserved := c.reservation(cp); !reserved && cp.State == claimed {
			total += cp.Bytes
		}
	}
	return total
}

func (c *Core) committedBytes() uint64 {
	if c.ledger == nil {
		return 0
	}
	return c.ledger.CommittedBytes()
}

func (c *Core) heldBytes() uint64 {
	if c.ledger == nil {
		return 0
	}
	return c.ledger.UnsettledBytes()
}

// logHeldMemory logs a change of the held memory: memory that stays reserved for unloaded models because a load order
// may still arrive.
func (c *Core) logHeldMemory() {
	held := c.heldBytes()
	if held == c.lastHeldBytes {
		return
	}
	event, kind := eventlog.MemoryHeld, timeline.MemoryHeld
	if held < c.lastHeldBytes {
		event, kind = eventlog.MemoryReleased, timeline.MemoryReleased
	}
	c.lastHeldBytes = held
	c.log(event, "held_bytes", held)
	c.addTimeline(kind, "runner/"+c.id.Runner, "")
}

// newFencingDue reports whether a new fencing token is needed to void unanswered load orders. It is due at most once
// per ResendAfter, since each token costs an AgentStart record.
func (c *Core) newFencingDue() bool {
	if !c.id.HonoursFencing || c.ledger == nil || !c.fenceAcked || c.order != nil {
		return false
	}
	unsettled := false
	for _, item := range c.ledger.Reservations() {
		unsettled = unsettled || item.Unsettled
	}
	if !unsettled {
		c.unsettledSince = time.Time{}
		return false
	}
	if c.unsettledSince.IsZero() {
		c.unsettledSince = c.now
	}
	return c.now.Sub(c.unsettledSince) >= c.limits.ResendAfter
}
