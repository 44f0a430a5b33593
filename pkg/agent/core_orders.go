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
	// lost is set when the send ended without an answer; the order is repeated after a pause.
	lost bool
}

func (e OrderDone) apply(c *Core) {
	if c.order == nil || c.order.order.ID != e.ID {
		c.adapters.orderDone(c.now, e)
		return
	}
	if e.Err == nil {
		c.orderCarriedOut(c.order.order)
		return
	}
	c.orderFailed(c.order, failure.From(e.Err))
}

func (c *Core) orderCarriedOut(o engine.Order) {
	c.order = nil
	c.log(eventlog.OrderDone, "order", o.ID, "kind", o.Kind, "model", o.Model)
	switch o.Kind {
	case engine.Fence:
		c.fenceAcked = o.Fencing == c.fencing
		c.ledger.FenceAcknowledged(o.Fencing)
		return
	case engine.LoadModel:
		c.note(timeline.LoadDone, "model/"+o.Model, o.ID)
	case engine.UnloadModel:
		c.note(timeline.UnloadDone, "model/"+o.Model, o.ID)
	}
	c.ledger.OrderDone(o.ID)
}

func (c *Core) orderFailed(o *modelOrder, f *failure.Failure) {
	c.log(eventlog.OrderFailed, "order", o.order.ID, "kind", o.order.Kind, "model", o.order.Model, "error", f)
	c.note(timeline.LoadFailed, "model/"+o.order.Model, string(f.Code))
	c.orderPause = c.now.Add(c.limits.RetryAfter)
	c.fenced = c.fenced || (f.Code == failure.OrderFenced && o.order.Fencing == c.fencing)
	if o.order.Kind == engine.Fence {
		c.order = nil
		return
	}
	if f.Outcome == failure.Unknown {
		o.lost = true
		c.ledger.OrderLost(o.order.ID)
		return
	}
	c.order = nil
	c.ledger.OrderRefused(o.order.ID)
}

// decideOrder sends the next model order.
func (c *Core) decideOrder() {
	if !c.isEngine() || !c.commands() || !c.engineKnown() || c.fenced || c.ledger == nil {
		return
	}
	c.closeReleased()
	if c.now.Before(c.orderPause) || (c.order != nil && !c.order.lost) {
		return
	}
	if c.id.HonoursFencing && !c.fenceAcked && c.order == nil {
		c.sendFence()
		return
	}
	if c.order != nil {
		c.repeatOrder()
		return
	}
	if c.nextUnload() || c.nextStrayUnload() {
		return
	}
	c.nextLoad()
}

func (c *Core) sendFence() {
	order := engine.Order{ID: c.nextOrderID(), Kind: engine.Fence, Fencing: c.fencing}
	c.order = &modelOrder{order: order, sentAt: c.now}
	c.do(SendOrder{Order: order})
}

// repeatOrder sends a lost order again under a new id.
func (c *Core) repeatOrder() {
	o := c.order.order
	key := placement.Key{Model: o.Model, Version: o.Version}
	if o.Kind == engine.LoadModel {
		c.sendLoad(key, o.Bytes)
		return
	}
	c.sendUnload(key)
}

func (c *Core) sendLoad(key placement.Key, bytes uint64) bool {
	if _, reserved := c.ledger.Get(key); !reserved && !c.modelFits(bytes) {
		return false
	}
	id := c.nextOrderID()
	if !c.ledger.BeginLoad(key, bytes, id) {
		return false
	}
	c.note(timeline.LoadStarted, "model/"+key.Model, id)
	c.send(engine.Order{ID: id, Kind: engine.LoadModel, Model: key.Model, Version: key.Version, Bytes: bytes})
	return true
}

func (c *Core) sendUnload(key placement.Key) bool {
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
	c.do(SendOrder{Order: o})
}

func (c *Core) nextOrderID() string {
	c.orderSeq++
	return c.id.Incarnation + "/" + strconv.FormatUint(c.orderSeq, 10)
}

// closeReleased refuses new work for the versions that are to be unloaded and accepts it for the others.
func (c *Core) closeReleased() {
	for _, m := range c.report.Models {
		key := placement.Key{Model: m.Model, Version: m.Version}
		target := versionTarget(key)
		keep := c.servesVersion(key)
		if keep != c.closed[target] {
			continue
		}
		c.forgetClosure(target)
		if keep {
			delete(c.closed, target)
			c.do(OpenTarget{Target: target})
			continue
		}
		c.closed[target] = true
		c.do(CloseTarget{Target: target})
	}
}

// forgetClosure drops what the last count says of a target's closure. It may stem from an earlier closure; only a
// later count shows that no work came in between.
func (c *Core) forgetClosure(target string) {
	closed := maps.Clone(c.work.Closed)
	delete(closed, target)
	c.work.Closed = closed
}

// servesVersion reports whether a loaded version has a copy that is not released.
func (c *Core) servesVersion(key placement.Key) bool {
	for _, own := range c.own() {
		if keyOf(own) == key && own.State != released && c.loadedVersion(key) {
			return true
		}
	}
	return false
}

// idle reports whether a version takes no new work and has none in progress.
func (c *Core) idle(key placement.Key) bool {
	target := versionTarget(key)
	return c.closed[target] && c.work.Closed[target] && c.work.Counts[target] == 0
}

// nextUnload frees a released copy once its work is finished, or a ready one that the engine lost.
func (c *Core) nextUnload() bool {
	for _, own := range c.own() {
		item, ok := c.item(own)
		if !ok {
			continue
		}
		due := own.State == released && (c.idle(item.Key) || !item.Reported)
		lost := own.State == ready && c.isLost(keyOf(own))
		if (due || lost) && c.unloadDue(item) && c.sendUnload(item.Key) {
			return true
		}
	}
	return false
}

// unloadDue reports whether an unload still has something to do; an answered one only waits for the report.
func (c *Core) unloadDue(item placement.Item) bool {
	return item.Loaded || item.Reported && !item.Freeing
}

// nextStrayUnload frees a loaded model that no copy stands for and that nobody wants.
func (c *Core) nextStrayUnload() bool {
	for _, m := range c.report.Models {
		key := placement.Key{Model: m.Model, Version: m.Version}
		item, ok := c.ledger.Get(key)
		if c.holds(key) || c.adoptable(m) || !ok || !c.unloadDue(item) {
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

func (c *Core) nextLoad() {
	for _, own := range c.own() {
		if own.State == claimed && c.loadDue(own) && c.sendLoad(keyOf(own), own.Bytes) {
			return
		}
	}
}

// loadDue reports whether an open claim is to be loaded now. The plan gives the turns, which share the rate of the
// store. A load that was ordered once is seen through, since its order may still take effect. A claim that is being given
// up is not loaded, because a successor would not know of the order.
func (c *Core) loadDue(own placement.Copy) bool {
	if item, reserved := c.item(own); reserved {
		return !item.Loaded
	}
	return !c.stopping && !c.abandoning(own.Claim) && c.planned().Load == own.Claim
}
