package placement

import (
	"slices"

	"trefoilferry.example/ferry/pkg/engine"
)

// BeginLoad reserves the memory of a model; it must be called before the load order with that new id is sent. It
// returns false if another order is outstanding or the model does not fit. To retry an unanswered load, call
// BeginLoad again with the same key.
func (l *Ledger) BeginLoad(key ModelKey, bytes uint64, orderID string) bool {
	if !l.canOrder(engine.LoadModel, key) {
		return false
	}
	if l.order != nil {
		// The memory for a retry is already reserved.
		bytes = 0
	} else if !l.fits(key, bytes) {
		return false
	}
	i := l.item(key, bytes)
	i.unloaded = false
	i.freeing = false
	l.startOrder(engine.LoadModel, key, orderID)
	return true
}

// fits reports whether the reservations stay within the capacity. Models with a reservation are checked too: it may
// come from an old report that lists a model freed by a predecessor, and its bytes may be in use by another model.
func (l *Ledger) fits(key ModelKey, bytes uint64) bool {
	total := l.CommittedBytes()
	if i, known := l.items[key]; known {
		total -= i.bytes
		bytes = max(bytes, i.bytes)
	}
	return total+bytes <= l.capacity
}

// BeginUnload records that an unload order with that new id is about to be sent. It returns false if another order is
// outstanding, or if the model has not been seen loaded and a load of it may still be in progress, which would finish
// after the unload; the agent loads such a model before it unloads it.
func (l *Ledger) BeginUnload(key ModelKey, orderID string) bool {
	if !l.canOrder(engine.UnloadModel, key) {
		return false
	}
	i, ok := l.items[key]
	repeated := l.order != nil
	if !ok || (!i.loaded && !i.reported && !repeated && len(i.unsettledLoads) > 0) {
		return false
	}
	i.freeing = true
	l.startOrder(engine.UnloadModel, key, orderID)
	return true
}

// canOrder permits one outstanding order at a time, and its retries while it is unanswered.
func (l *Ledger) canOrder(kind engine.OrderKind, key ModelKey) bool {
	if l.reportCount == 0 {
		return false
	}
	return l.order == nil || (l.order.unanswered && l.order.kind == kind && l.order.key == key)
}

func (l *Ledger) startOrder(kind engine.OrderKind, key ModelKey, id string) {
	if l.order == nil {
		l.order = &outstandingOrder{kind: kind, key: key}
	}
	l.order.ids = append(l.order.ids, id)
	l.order.unanswered = false
}

// OrderDone records that the engine carried out the order.
func (l *Ledger) OrderDone(id string) {
	key, kind, current := l.resolveOrder(id)
	i, ok := l.items[key]
	if !ok {
		return
	}
	if kind == engine.LoadModel {
		i.loaded = true
		i.unloaded = false
		i.loadIDs = append(i.loadIDs, id)
		return
	}
	if current {
		i.loaded = false
		i.unloaded = true
	}
}

// OrderRefused records that the engine responded that it has not carried out the order and will not do so.
func (l *Ledger) OrderRefused(id string) {
	key, kind, _ := l.resolveOrder(id)
	i, ok := l.items[key]
	if !ok {
		return
	}
	if kind == engine.UnloadModel {
		i.freeing = false
		return
	}
	if !i.loaded && !i.reported && !i.adopted && len(i.unsettledLoads) == 0 {
		delete(l.items, key)
	}
}

// OrderUnanswered records that a send of an order ended without a response.
func (l *Ledger) OrderUnanswered(id string) {
	if l.order == nil || !slices.Contains(l.order.ids, id) {
		return
	}
	l.order.unanswered = true
	if l.order.kind != engine.LoadModel {
		return
	}
	if i, ok := l.items[l.order.key]; ok {
		i.unsettledLoads = append(i.unsettledLoads, unsettledLoad{id: id, fencing: l.fencing, endedAtReport: l.reportCount, own: true})
	}
}

// resolveOrder settles the send with that id and returns the key and kind of its order, and whether the order was
// outstanding. A response to any of its sends ends the outstanding order.
func (l *Ledger) resolveOrder(id string) (ModelKey, engine.OrderKind, bool) {
	if l.order != nil && slices.Contains(l.order.ids, id) {
		key, kind := l.order.key, l.order.kind
		l.order = nil
		l.settleLoad(key, id)
		return key, kind, true
	}
	for key, i := range l.items {
		if slices.ContainsFunc(i.unsettledLoads, func(s unsettledLoad) bool { return s.id == id && s.own }) {
			l.settleLoad(key, id)
			return key, engine.LoadModel, false
		}
	}
	return ModelKey{}, "", false
}

func (l *Ledger) settleLoad(key ModelKey, id string) {
	if i, ok := l.items[key]; ok {
		i.settle(func(s unsettledLoad) bool { return s.own && s.id == id })
	}
}

// FenceAcknowledged records that the engine honours fencing and rejects orders with lower tokens from now on.
func (l *Ledger) FenceAcknowledged(fencing uint64) {
	for _, i := range l.items {
		i.settle(func(s unsettledLoad) bool { return s.fencing < fencing })
	}
}
