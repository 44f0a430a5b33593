package agent

import (
	"maps"
	"strconv"
	"time"

	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/placement"
	"trefoilferry.example/ferry/pkg/timeline"
)

// modelOrder is the one model order that may be outstanding.
type modelOrder struct {
	order  engine.Order
	sentAt time.Time
	// lost is set when the call ended without a response; the order is sent again after RetryAfter.
	lost bool
}

func (e OrderDone) apply(c *Core) {
	if c.order == nil || c.order.order.ID != e.ID {
		c.adapters.orderDone(c.now, e)
		return
	}
	if e.Err == nil {
		c.orderSucceeded(c.order.order)
		return
	}
	c.orderFailed(c.order, failure.From(e.Err))
}

func (c *Core) orderSucceeded(o engine.Order) {
	c.order = nil
	c.log(eventlog.OrderDone, "order", o.ID, "kind", o.Kind, "model", o.Model)
	switch o.Kind {
	case engine.Fence:
		c.fenceAcked = o.Fencing == c.fencing
		c.ledger.FenceAcknowledged(o.Fencing)
		return
	case engine.LoadModel:
		c.addTimeline(timeline.LoadDone, "model/"+o.Model, o.ID)
	case engine.UnloadModel:
		c.addTimeline(timeline.UnloadDone, "model/"+o.Model, o.ID)
	}
	c.ledger.OrderDone(o.ID)
}

func (c *Core) orderFailed(o *modelOrder, f *failure.Failure) {
	c.log(eventlog.OrderFailed, "order", o.order.ID, "kind", o.order.Kind, "model", o.order.Model, "error", f)
	c.addTimeline(timeline.LoadFailed, "model/"+o.order.Model, string(f.Code))
	c.orderRetryAt = c.now.Add(c.limits.RetryAfter)
	c.fenced = c.fenced || (f.Code == failure.OrderFenced && o.order.Fencing == c.fencing)
	if o.order.Kind == engine.Fence {
		c.order = nil
		return
	}
	if f.Outcome == failure.Unknown {
		o.lost = true
		c.ledger.OrderUnanswered(o.order.ID)
		return
	}
	c.order = nil
	c.ledger.OrderRefused(o.order.ID)
}

// decideOrder sends the next model order if none is outstanding. A lost order is sent again before any other.
// Next come the fence order, until the engine has acknowledged it, then unloads, then loads.
func (c *Core) decideOrder() {
	if !c.isEngine() || !c.authorized() || !c.reportFresh() || c.fenced || c.ledger == nil {
		return
	}
	c.syncTargets()
	if c.now.Before(c.orderRetryAt) || (c.order != nil && !c.order.lost) {
		return
	}
	if c.id.HonoursFencing && !c.fenceAcked && c.order == nil {
		c.sendFence()
		return
	}
	if c.order != nil {
		c.resendOrder()
		return
	}
	if c.sendNextUnload() || c.sendUnclaimedUnload() {
		return
	}
	c.sendNextLoad()
}

func (c *Core) sendFence() {
	order := engine.Order{ID: c.nextOrderID(), Kind: engine.Fence, Fencing: c.fencing}
	c.order = &modelOrder{order: order, sentAt: c.now}
	c.emit(SendOrder{Order: order})
}

// resendOrder sends a lost order again with a new ID.
func (c *Core) resendOrder() {
	o := c.order.order
	key := placement.ModelKey{Model: o.Model, Version: o.Version}
	if o.Kind == engine.LoadModel {
		c.sendLoad(key, o.Bytes)
		return
	}
	c.sendUnload(key)
}

// sendLoad sends a load order; false if the ledger refuses it or the model does not fit.
func (c *Core) sendLoad(key placement.ModelKey, bytes uint64) bool {
	if _, reserved := c.ledger.Reservation(key); !reserved && !c.modelFits(bytes) {
		return false
	}
	id := c.nextOrderID()
	if !c.ledger.BeginLoad(key, bytes, id) {
		return false
	}
	c.addTimeline(timeline.LoadStarted, "model/"+key.Model, id)
	c.send(engine.Order{ID: id, Kind: engine.LoadModel, Model: key.Model, Version: key.Version, Bytes: bytes})
	return true
}

// sendUnload sends an unload order; false if the ledger refuses it.
func (c *Core) sendUnload(key placement.ModelKey) bool {
	id := c.nextOrderID()
	if !c.ledger.BeginUnload(key, id) {
		return false
	}
	c.send(engine.Order{ID: id, Kind: engine.UnloadModel, Model: key.Model, Version: key.Version})
	return true
}

func (c *Core) send(o engine.Order) {
	o.Fencing = c.fencing
	c.order = &modelOrder{order: o, sentAt: c.now}
	c.log(eventlog.OrderSent, "order", o.ID, "kind", o.Kind, "model", o.Model)
	c.emit(SendOrder{Order: o})
}

func (c *Core) nextOrderID() string {
	c.orderSeq++
	return c.id.Incarnation + "/" + strconv.FormatUint(c.orderSeq, 10)
}

// syncTargets closes the loaded versions that are to be unloaded to new requests and opens the others.
func (c *Core) syncTargets() {
	for _, m := range c.report.Models {
		key := placement.ModelKey{Model: m.Model, Version: m.Version}
		target := versionTarget(key)
		keep := c.servesVersion(key)
		if keep != c.closedTargets[target] {
			continue
		}
		c.invalidateClosed(target)
		if keep {
			delete(c.closedTargets, target)
			c.emit(OpenTarget{Target: target})
			continue
		}
		c.closedTargets[target] = true
		c.emit(CloseTarget{Target: target})
	}
}

// invalidateClosed clears a target's closed flag in the last request count. The flag may date from an earlier closure;
// only a newer count proves that no request has started since.
func (c *Core) invalidateClosed(target string) {
	closed := maps.Clone(c.inFlight.Closed)
	delete(closed, target)
	c.inFlight.Closed = closed
}

// servesVersion reports whether a loaded version has a copy that is not released.
func (c *Core) servesVersion(key placement.ModelKey) bool {
	for _, cp := range c.ownCopies() {
		if keyOf(cp) == key && cp.State != released && c.loadedVersion(key) {
			return true
		}
	}
	return false
}

// idle reports whether a version accepts no new requests and has none in progress.
func (c *Core) idle(key placement.ModelKey) bool {
	target := versionTarget(key)
	return c.closedTargets[target] && c.inFlight.Closed[target] && c.inFlight.Counts[target] == 0
}

// sendNextUnload unloads a released copy whose requests have finished, or a ready copy that the engine has lost.
func (c *Core) sendNextUnload() bool {
	for _, cp := range c.ownCopies() {
		item, ok := c.reservation(cp)
		if !ok {
			continue
		}
		due := cp.State == released && (c.idle(item.Key) || !item.Reported)
		lost := cp.State == ready && c.isLost(keyOf(cp))
		if (due || lost) && c.unloadDue(item) && c.sendUnload(item.Key) {
			return true
		}
	}
	return false
}

// unloadDue reports whether an unload order is needed. Once the engine has responded to an unload, only a
// report without the model is awaited. A copy that a predecessor released needs an unload even if the engine does not
// report it: the predecessor may have unloaded it and exited before it recorded that, and without a response to an
// unload the ledger would reserve the memory for ever.
func (c *Core) unloadDue(item placement.Reservation) bool {
	return !item.Unloaded || item.Reported && !item.Freeing
}

// sendUnclaimedUnload unloads an idle model version that has no copy in the placement records and is not adoptable.
func (c *Core) sendUnclaimedUnload() bool {
	for _, m := range c.report.Models {
		key := placement.ModelKey{Model: m.Model, Version: m.Version}
		item, ok := c.ledger.Reservation(key)
		if c.hasCopy(key) || c.adoptable(m) || !ok || !c.unloadDue(item) {
			continue
		}
		if !c.idle(key) {
			continue
		}
		if c.sendUnload(key) {
			return true
		}
	}
	return false
}

func (c *Core) sendNextLoad() {
	for _, cp := range c.ownCopies() {
		if cp.State == claimed && c.loadDue(cp) && c.sendLoad(keyOf(cp), cp.Bytes) {
			return
		}
	}
}

// loadDue reports whether the load order of a claimed copy must be sent now. The plan limits how many runners load at
// the same time, because they share the bandwidth of the weight store. Once a load order has been sent, the load is
// completed regardless of the plan, since the order may still take effect. A claim that is being abandoned is not
// loaded, because a successor would not know of the order.
func (c *Core) loadDue(cp placement.Copy) bool {
	if item, reserved := c.reservation(cp); reserved {
		return !item.Loaded
	}
	return !c.stopping && !c.abandoning(cp.ClaimOffset) && c.planned().Load == cp.ClaimOffset
}
