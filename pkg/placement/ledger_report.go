package placement

import (
	"slices"

	"trefoilferry.example/ferry/pkg/engine"
)

// Report takes an engine report over, which may lag. Models that nobody claimed are reserved too.
func (l *Ledger) Report(r engine.Report) {
	l.noteInstance(r.Instance)
	l.reports++
	if r.HonoursFencing {
		l.FenceAcknowledged(r.Fencing)
	}
	shown := map[Key]bool{}
	for _, m := range r.Models {
		if slices.Contains(l.gone, m.OrderID) {
			continue
		}
		key := Key{Model: m.Model, Version: m.Version}
		shown[key] = true
		l.show(key, m)
	}
	for key, i := range l.items {
		i.reported = shown[key]
		if i.unloaded && !i.reported && len(i.strays) == 0 && !l.ordered(key) {
			l.remove(key, i)
		}
	}
}

func (l *Ledger) show(key Key, m engine.LoadedModel) {
	i := l.item(key, m.Bytes)
	// After an answered unload the report may be older than the unload.
	if !i.unloaded {
		i.loaded = true
	}
}

func (l *Ledger) ordered(key Key) bool { return l.order != nil && l.order.key == key }

// noteInstance settles the orders of this process and of exited predecessors that ended while the former engine
// process was still seen alive: their connections led to that process.
func (l *Ledger) noteInstance(instance string) {
	if instance == l.instance {
		return
	}
	known := l.instance != ""
	l.instance = instance
	if !known {
		return
	}
	for _, i := range l.items {
		i.settle(func(s strayOrder) bool { return (s.own || s.exited) && s.after < l.reports })
	}
}

func (l *Ledger) remove(key Key, i *ledgerItem) {
	delete(l.items, key)
	l.gone = append(l.gone, i.loads...)
	l.gone = l.gone[max(0, len(l.gone)-maxGone):]
}
