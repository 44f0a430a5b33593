package placement

import (
	"cmp"
	"slices"

	"trefoilferry.example/ferry/pkg/engine"
)

// Ledger accounts for the accelerator memory of one runner. It does no I/O and must be used by one goroutine only.
//
// The bytes of a model are reserved from before its load order is sent until all of the following hold: an unload was
// answered after the last answered load, a report received after that does not list the model, and no load order of
// the model can reach the engine any more. A load order that was never answered can arrive at any time, and more than
// once. It is settled only when an engine that honours fencing has acknowledged a higher token, or when its sender has
// exited and the engine process that it was sent to is gone.
//
// Absence from a report alone frees nothing, because reports lag. Load orders are sent only for copies in state
// Claimed, so that a successor knows every model for which a paused predecessor may still send one. A model that the
// engine lost is unloaded, recorded as freed and claimed again.
type Ledger struct {
	capacity uint64
	fencing  uint64
	// firstFencing is the fencing token of the process's first announcement; claims with lower tokens belong to a
	// predecessor.
	firstFencing uint64
	items        map[ModelKey]*ledgerEntry
	// adoptedClaims holds the claims of a predecessor whose memory is already reserved.
	adoptedClaims map[uint64]bool
	// freedLoadIDs are the ids of recent load orders whose models were freed; an old report may still list them.
	freedLoadIDs []string
	order        *outstandingOrder
	reportCount  uint64
	instance     string
}

// maxFreedLoadIDs bounds the load orders that are remembered after their models were freed. No report is expected to
// lag by this many orders; forgetting one only reserves its bytes until the next report.
const maxFreedLoadIDs = 64

// outstandingOrder is the one model order that has been sent and not answered.
type outstandingOrder struct {
	kind engine.OrderKind
	key  ModelKey
	// ids are the ids of all sends of the order; the last one may be in flight.
	ids []string
	// unanswered is true when the last send ended without a response.
	unanswered bool
}

// NewLedger returns a ledger for capacity bytes of accelerator memory and the agent's fencing token. It permits no
// load before the first report.
func NewLedger(capacity, fencing uint64) *Ledger {
	return &Ledger{capacity: capacity, fencing: fencing, firstFencing: fencing,
		items: map[ModelKey]*ledgerEntry{}, adoptedClaims: map[uint64]bool{}}
}

// Adopt reserves the bytes of a predecessor's copy. It must be called before the first load, for every copy that the
// log shows for the runner at the agent's own AgentStart record. A load order of the predecessor for an open or
// unsettled copy may still arrive. The process's own copies, and copies adopted before, are ignored.
func (l *Ledger) Adopt(c Copy) {
	if c.ClaimFencing >= l.firstFencing || l.adoptedClaims[c.ClaimOffset] {
		return
	}
	l.adoptedClaims[c.ClaimOffset] = true
	i := l.item(ModelKey{Model: c.Model, Version: c.Version}, c.Bytes)
	i.adopted = true
	i.loaded = i.loaded || c.State == Ready
	if c.State == Claimed || c.Unsettled {
		i.unsettledLoads = append(i.unsettledLoads, unsettledLoad{fencing: c.ClaimFencing})
	}
}

// PredecessorExited records that the process with that fencing token has exited and will send no more orders. Orders
// that it has sent may still be in transit to the engine process of that time.
func (l *Ledger) PredecessorExited(fencing uint64) {
	for _, i := range l.items {
		for n := range i.unsettledLoads {
			if s := &i.unsettledLoads[n]; !s.own && s.fencing == fencing {
				s.senderExited = true
				s.endedAtReport = l.reportCount
			}
		}
	}
}

// SetFencing sets the fencing token of a new announcement by the same process.
func (l *Ledger) SetFencing(fencing uint64) { l.fencing = max(l.fencing, fencing) }

// SetCapacity changes the memory available to models. Reservations beyond it are kept.
func (l *Ledger) SetCapacity(bytes uint64) { l.capacity = bytes }

func (l *Ledger) item(key ModelKey, bytes uint64) *ledgerEntry {
	i, ok := l.items[key]
	if !ok {
		i = &ledgerEntry{}
		l.items[key] = i
	}
	i.bytes = max(i.bytes, bytes)
	return i
}

// CommittedBytes returns the reserved bytes.
func (l *Ledger) CommittedBytes() uint64 {
	total := uint64(0)
	for _, i := range l.items {
		total += i.bytes
	}
	return total
}

// UnsettledBytes returns the reserved bytes of models that are not loaded but for which a load order may still arrive.
func (l *Ledger) UnsettledBytes() uint64 {
	total := uint64(0)
	for _, i := range l.items {
		if len(i.unsettledLoads) > 0 && !i.loaded {
			total += i.bytes
		}
	}
	return total
}

// FreeBytes returns the bytes that are not reserved.
func (l *Ledger) FreeBytes() uint64 {
	committed := l.CommittedBytes()
	if committed >= l.capacity {
		return 0
	}
	return l.capacity - committed
}

// CanLoad reports whether another model of that many bytes fits now; it is false before the first report.
func (l *Ledger) CanLoad(bytes uint64) bool { return l.reportCount > 0 && bytes <= l.FreeBytes() }

// Outstanding returns the key and kind of the unanswered order, and whether there is one.
func (l *Ledger) Outstanding() (ModelKey, engine.OrderKind, bool) {
	if l.order == nil {
		return ModelKey{}, "", false
	}
	return l.order.key, l.order.kind, true
}

// NeedsResend reports whether the outstanding order ended without a response and must be sent again.
func (l *Ledger) NeedsResend() bool { return l.order != nil && l.order.unanswered }

// Reservation returns the reservation of a model version. It returns false when nothing is reserved, so that the claim
// can be recorded as freed.
func (l *Ledger) Reservation(key ModelKey) (Reservation, bool) {
	i, ok := l.items[key]
	if !ok {
		return Reservation{}, false
	}
	return i.view(key), true
}

// Reservations returns all reservations ordered by model and version.
func (l *Ledger) Reservations() []Reservation {
	out := make([]Reservation, 0, len(l.items))
	for key, i := range l.items {
		out = append(out, i.view(key))
	}
	slices.SortFunc(out, func(a, b Reservation) int {
		return cmp.Or(cmp.Compare(a.Key.Model, b.Key.Model), cmp.Compare(a.Key.Version, b.Key.Version))
	})
	return out
}
