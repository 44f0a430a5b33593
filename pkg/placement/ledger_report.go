package placement

import (
	"slices"

	"trefoilferry.example/ferry/pkg/engine"
)

// ApplyReport applies an engine report, which may lag. Memory is reserved for models that nobody has claimed as well.
func (l *Ledger) ApplyReport(r engine.LoadReport) {
	l.applyInstance(r.Instance)
	l.reportCount++
	if r.HonoursFencing {
		l.FenceAcknowledged(r.Fencing)
	}
	shown := map[ModelKey]bool{}
	for _, m := range r.Models {
		if slices.Contains(l.freedLoadIDs, m.OrderID) {
			continue
		}
		key := ModelKey{Model: m.Model, Version: m.Version}
		shown[key] = true
		l.applyLoaded(key, m)
	}
	for key, i := range l.items {
		i.reported = shown[key]
		if i.unloaded && !i.reported && len(i.unsettledLoads) == 0 && !l.hasOutstandingOrder(key) {
			l.freeItem(key, i)
		}
	}
}

func (l *Ledger) applyLoaded(key ModelKey, m engine.LoadedModel) {
	i := l.item(key, m.Bytes)
	// A report that follows an answered unload may be older than the unload.
	if !i.unloaded {
		i.loaded = true
	}
}

func (l *Ledger) hasOutstandingOrder(key ModelKey) bool { return l.order != nil && l.order.key == key }

// applyInstance settles unanswered loads when a report comes from a new engine process: those of this process and of
// exited predecessors whose sends ended while the previous engine process was still reporting, because their
// connections led to that process.
func (l *Ledger) applyInstance(instance string) {
	if instance == l.instance {
		return
	}
	known := l.instance != ""
	l.instance = instance
	if !known {
		return
	}
	for _, i := range l.items {
		i.settle(func(s unsettledLoad) bool { return (s.own || s.senderExited) && s.endedAtReport < l.reportCount })
	}
}

func (l *Ledger) freeItem(key ModelKey, i *ledgerEntry) {
	delete(l.items, key)
	l.freedLoadIDs = append(l.freedLoadIDs, i.loadIDs...)
	l.freedLoadIDs = l.freedLoadIDs[max(0, len(l.freedLoadIDs)-maxFreedLoadIDs):]
}
