package placement

import (
	"slices"

	"trefoilferry.example/ferry/pkg/engine"
)

// BeginLoad reserves the memory of a model before its load order with a new id is sent. It refuses when another
// order is outstanding or the model does not fit. A lost load is repeated by another BeginLoad with the same key.
func (l *Ledger) BeginLoad(key Key, bytes uint64, orderID string) bool {
	if !l.mayOrder(engine.LoadModel, key) {
		return false
	}
	if l.order != nil {
		// A repeated send orders what is reserved already.
		bytes = 0
	} else if !l.fits(key, bytes) {
		return false
	}
	i := l.item(key, bytes)
	i.unloaded = false
	i.freeing = false
	l.begin(engine.LoadModel, key, orderID)
	return true
}

// fits reports whether the reservations stay within the capacity. A model that is reserved already is checked too:
// an old report may show a model that a predecessor freed, and its bytes may be in use by another.
func (l *Ledger) fits(key Key, bytes uint64) bool {
	total := l.Committed()
	if i, known := l.items[key]; known {
		total -= i.bytes
		bytes = max(bytes, i.bytes)
	}
	return total+bytes <= l.capacity
}

// BeginUnload notes that an unload order with a new id is about to be sent. It refuses when another order is outstanding or
// the model was never shown loaded while a load of it may be under way, which would end after the unload;
// the agent loads such a model before it unloads it.
func (l *Ledger) BeginUnload(key Key, orderID string) bool {
	if !l.mayOrder(engine.UnloadModel, key) {
		return false
	}
	i, ok := l.items[key]
	repeated := l.order != nil
	if !ok || (!i.loaded && !i.reported && !repeated && len(i.strays) > 0) {
		return false
	}
	i.freeing = true
	l.begin(engine.UnloadModel, key, orderID)
	return true
}

// mayOrder permits one outstanding order, and the repetition of a lost one.
func (l *Ledger) mayOrder(kind engine.OrderKind, key Key) bool {
	if l.reports == 0 {
		return false
	}
	return l.order == nil || (l.order.lost && l.order.kind == kind && l.order.key == key)
}

func (l *Ledger) begin(kind engine.OrderKind, key Key, id string) {
	if l.order == nil {
		l.order = &openOrder{kind: kind, key: key}
	}
	l.order.ids = append(l.order.ids, id)
	l.order.lost = false
}

// OrderDone notes that the engine carried the order out.
func (l *Ledger) OrderDone(id string) {
	key, kind, current := l.answered(id)
	i, ok := l.items[key]
	if !ok {
		return
	}
	if kind == engine.LoadModel {
		i.loaded = true
		i.unloaded = false
		i.loads = append(i.loads, id)
		return
	}
	if current {
		i.loaded = false
		i.unloaded = true
	}
}

// OrderRefused notes that the engine answered that it did not and will not carry the order out.
func (l *Ledger) OrderRefused(id string) {
	key, kind, _ := l.answered(id)
	i, ok := l.items[key]
	if !ok {
		return
	}
	if kind == engine.UnloadModel {
		i.freeing = false
		return
	}
	if !i.loaded && !i.reported && !i.adopted && len(i.strays) == 0 {
		delete(l.items, key)
	}
}

// OrderLost notes that the send of an order ended without an answer.
func (l *Ledger) OrderLost(id string) {
	if l.order == nil || !slices.Contains(l.order.ids, id) {
		return
	}
	l.order.lost = true
	if l.order.kind != engine.LoadModel {
		return
	}
	if i, ok := l.items[l.order.key]; ok {
		i.strays = append(i.strays, strayOrder{id: id, fencing: l.fencing, after: l.reports, own: true})
	}
}

// answered settles the send of that id and returns what it ordered. The outstanding order ends with the
// answer to any of its sends.
func (l *Ledger) answered(id string) (Key, engine.OrderKind, bool) {
	if l.order != nil && slices.Contains(l.order.ids, id) {
		key, kind := l.order.key, l.order.kind
		l.order = nil
		l.settleStray(key, id)
		return key, kind, true
	}
	for key, i := range l.items {
		if slices.ContainsFunc(i.strays, func(s strayOrder) bool { return s.id == id && s.own }) {
			l.settleStray(key, id)
			return key, engine.LoadModel, false
		}
	}
	return Key{}, "", false
}

func (l *Ledger) settleStray(key Key, id string) {
	if i, ok := l.items[key]; ok {
		i.settle(func(s strayOrder) bool { return s.own && s.id == id })
	}
}

// FenceAcknowledged notes that the engine, which honours fencing, refuses orders below the number from now on.
func (l *Ledger) FenceAcknowledged(fencing uint64) {
	for _, i := range l.items {
		i.settle(func(s strayOrder) bool { return s.fencing < fencing })
	}
}
