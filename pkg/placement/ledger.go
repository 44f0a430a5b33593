package placement

import (
	"cmp"
	"slices"

	"trefoilferry.example/ferry/pkg/engine"
)

// Ledger is the memory accounting of one runner. It is a pure state machine owned by one goroutine.
//
// The bytes of a model are reserved from before its load order is sent until three facts are known: an
// unload was answered after the last answered load, a report received after that does not show the model,
// and no load order of the model can still reach the engine. A load order that was never answered can
// arrive at any time and more than once. It is settled only when an engine that honours fencing has
// acknowledged a higher number, or when its sender has exited and the engine process that it was sent to is gone.
//
// Absence from a report alone frees nothing, because reports lag. Load orders are sent only for copies in
// state Claimed, so that a successor knows every model for which a paused predecessor may still send one;
// a model that the engine lost is unloaded, recorded as freed and claimed again.
type Ledger struct {
	capacity uint64
	fencing  uint64
	// first is the fencing number of the process's first announcement; claims below it are a predecessor's.
	first   uint64
	items   map[Key]*ledgerItem
	adopted map[uint64]bool
	// gone are the last load orders whose models were freed; an old report may still show them.
	gone     []string
	order    *openOrder
	reports  uint64
	instance string
}

// maxGone bounds the load orders remembered after their models were freed. A report that lags by this many
// orders is not plausible; forgetting one only reserves its bytes until the next report.
const maxGone = 64

// openOrder is the one model order that has been sent and not answered.
type openOrder struct {
	kind engine.OrderKind
	key  Key
	// ids are all sends of the order; the last one may be in flight.
	ids []string
	// lost is true when the last send ended without an answer.
	lost bool
}

// NewLedger returns a ledger for capacity bytes of accelerator memory and the agent's fencing number. It
// permits no load before the first report.
func NewLedger(capacity, fencing uint64) *Ledger {
	return &Ledger{capacity: capacity, fencing: fencing, first: fencing,
		items: map[Key]*ledgerItem{}, adopted: map[uint64]bool{}}
}

// Adopt reserves the bytes of a predecessor's copy. It is called for every copy that the log shows for the
// runner at the agent's own AgentStart record, before the first load. The load order of a predecessor's
// open or unsettled copy may still arrive. Own and known copies change nothing.
func (l *Ledger) Adopt(c Copy) {
	if c.ClaimFencing >= l.first || l.adopted[c.Claim] {
		return
	}
	l.adopted[c.Claim] = true
	i := l.item(Key{Model: c.Model, Version: c.Version}, c.Bytes)
	i.adopted = true
	i.loaded = i.loaded || c.State == Ready
	if c.State == Claimed || c.Unsettled {
		i.strays = append(i.strays, strayOrder{fencing: c.ClaimFencing})
	}
}

// PredecessorExited tells that the process with that fencing number has exited, so that it sends nothing any more.
// What it has sent may still be on the way to the engine process of that time.
func (l *Ledger) PredecessorExited(fencing uint64) {
	for _, i := range l.items {
		for n := range i.strays {
			if s := &i.strays[n]; !s.own && s.fencing == fencing {
				s.exited = true
				s.after = l.reports
			}
		}
	}
}

// SetFencing sets the number of a new announcement by the same process.
func (l *Ledger) SetFencing(fencing uint64) { l.fencing = max(l.fencing, fencing) }

// SetCapacity changes the memory for models. What is reserved beyond it stays reserved.
func (l *Ledger) SetCapacity(bytes uint64) { l.capacity = bytes }

func (l *Ledger) item(key Key, bytes uint64) *ledgerItem {
	i, ok := l.items[key]
	if !ok {
		i = &ledgerItem{}
		l.items[key] = i
	}
	i.bytes = max(i.bytes, bytes)
	return i
}

// Committed returns the reserved bytes.
func (l *Ledger) Committed() uint64 {
	total := uint64(0)
	for _, i := range l.items {
		total += i.bytes
	}
	return total
}

// Held returns the reserved bytes of unloaded models for which a load order may still arrive.
func (l *Ledger) Held() uint64 {
	total := uint64(0)
	for _, i := range l.items {
		if len(i.strays) > 0 && !i.loaded {
			total += i.bytes
		}
	}
	return total
}

// Free returns the bytes that are not reserved.
func (l *Ledger) Free() uint64 {
	committed := l.Committed()
	if committed >= l.capacity {
		return 0
	}
	return l.capacity - committed
}

// CanLoad reports whether a further model of that many bytes fits now.
func (l *Ledger) CanLoad(bytes uint64) bool { return l.reports > 0 && bytes <= l.Free() }

// Outstanding returns the key and kind of the order that has no answer yet.
func (l *Ledger) Outstanding() (Key, engine.OrderKind, bool) {
	if l.order == nil {
		return Key{}, "", false
	}
	return l.order.key, l.order.kind, true
}

// Lost reports whether the outstanding order ended without an answer and must be sent again.
func (l *Ledger) Lost() bool { return l.order != nil && l.order.lost }

// Get returns the accounting of a model version; false when nothing is reserved for it, so that its claim can be
// recorded as freed.
func (l *Ledger) Get(key Key) (Item, bool) {
	i, ok := l.items[key]
	if !ok {
		return Item{}, false
	}
	return i.view(key), true
}

// Items returns all reservations in the order of model and version.
func (l *Ledger) Items() []Item {
	out := make([]Item, 0, len(l.items))
	for key, i := range l.items {
		out = append(out, i.view(key))
	}
	slices.SortFunc(out, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.Key.Model, b.Key.Model), cmp.Compare(a.Key.Version, b.Key.Version))
	})
	return out
}
