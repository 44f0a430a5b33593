package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"trefoilferry.example/ferry/pkg/engine"
)

// unfencedEngine ignores fencing and its own capacity and carries out every order that arrives.
type unfencedEngine struct {
	instance int
	memory   map[ModelKey]engine.LoadedModel
	// pastReports are the reports of earlier states.
	pastReports []engine.LoadReport
}

func (e *unfencedEngine) apply(o engine.Order) {
	key := ModelKey{Model: o.Model, Version: o.Version}
	if o.Kind == engine.UnloadModel {
		delete(e.memory, key)
	} else if _, ok := e.memory[key]; !ok {
		e.memory[key] = engine.LoadedModel{Model: o.Model, Version: o.Version, Bytes: o.Bytes, OrderID: o.ID}
	}
	e.pastReports = append(e.pastReports, e.report())
}

func (e *unfencedEngine) report() engine.LoadReport {
	r := engine.LoadReport{Instance: fmt.Sprint(e.instance)}
	for _, m := range e.memory {
		r.Models = append(r.Models, m)
	}
	return r
}

func (e *unfencedEngine) used() uint64 {
	total := uint64(0)
	for _, m := range e.memory {
		total += m.Bytes
	}
	return total
}

const testCapacity = 30

// simulation is one runner: its engine, the ledger of the current agent and the copies that the log shows.
type simulation struct {
	t      *rapid.T
	engine *unfencedEngine
	ledger *Ledger
	log    map[ModelKey]*Copy
	// lateOrders are orders in transit that arrive after their sends have ended.
	lateOrders []engine.Order
	claims     uint64
	fencing    uint64
	// lastReport is the index of the last report that the agent received; reports lag but keep their order.
	lastReport int
	// restarted is true once the agent has been replaced by a successor.
	restarted bool
}

func (b *simulation) key() ModelKey {
	return ModelKey{Model: rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(b.t, "model"), Version: "1"}
}

func keyBytes(k ModelKey) uint64 { return 8 + 2*uint64(k.Model[0]-'a') }

// load claims and loads a model as an agent does: the claim is in the log before the order is sent.
func (b *simulation) load(key ModelKey) {
	c, claimed := b.log[key]
	if claimed && c.State != Claimed {
		return
	}
	id := b.nextID()
	if !b.ledger.BeginLoad(key, keyBytes(key), id) {
		return
	}
	if !claimed {
		b.claims++
		b.log[key] = &Copy{ClaimOffset: b.claims, Model: key.Model, Version: key.Version, State: Claimed,
			ClaimFencing: b.fencing, Bytes: keyBytes(key)}
	}
	b.send(engine.Order{ID: id, Kind: engine.LoadModel, Model: key.Model, Version: key.Version, Bytes: keyBytes(key)})
}

func (b *simulation) unload(key ModelKey) {
	id := b.nextID()
	if !b.ledger.BeginUnload(key, id) {
		return
	}
	if c, ok := b.log[key]; ok {
		c.State = Released
	}
	b.send(engine.Order{ID: id, Kind: engine.UnloadModel, Model: key.Model, Version: key.Version})
}

func (b *simulation) nextID() string {
	b.claims++
	return fmt.Sprintf("o%d", b.claims)
}

func (b *simulation) send(o engine.Order) {
	switch rapid.IntRange(0, 5).Draw(b.t, "network") {
	case 0, 1, 2:
		b.engine.apply(o)
		b.engine.apply(o)
		b.ledger.OrderDone(o.ID)
	case 3:
		b.ledger.OrderRefused(o.ID)
	case 4:
		b.ledger.OrderUnanswered(o.ID)
		for range rapid.IntRange(0, 2).Draw(b.t, "copies") {
			b.lateOrders = append(b.lateOrders, o)
		}
	case 5:
		b.engine.apply(o)
		b.lateOrders = append(b.lateOrders, o)
		b.ledger.OrderUnanswered(o.ID)
	}
}

// record updates the log with what the agent knows: ready, freed and abandoned copies.
func (b *simulation) record() {
	for key, c := range b.log {
		i, held := b.ledger.Reservation(key)
		if !held {
			delete(b.log, key)
			continue
		}
		if c.State == Claimed && i.Loaded {
			c.State = Ready
			c.Unsettled = i.Unsettled
		}
	}
}

func (b *simulation) restartAgent() {
	b.claims++
	b.fencing = b.claims
	b.ledger = NewLedger(testCapacity, b.fencing)
	for _, c := range b.log {
		b.ledger.Adopt(*c)
	}
}

func (b *simulation) restartEngine() {
	b.engine.instance++
	b.engine.memory = map[ModelKey]engine.LoadedModel{}
	// Connections to the previous process are closed, and orders in transit are lost with them.
	b.lateOrders = nil
	b.engine.pastReports = append(b.engine.pastReports, b.engine.report())
	b.lastReport = len(b.engine.pastReports) - 1
	b.ledger.ApplyReport(b.engine.report())
}

func (b *simulation) report() {
	b.lastReport = rapid.IntRange(b.lastReport, len(b.engine.pastReports)-1).Draw(b.t, "report")
	b.ledger.ApplyReport(b.engine.pastReports[b.lastReport])
}

func (b *simulation) deliverLate() {
	if len(b.lateOrders) == 0 {
		return
	}
	n := rapid.IntRange(0, len(b.lateOrders)-1).Draw(b.t, "late order")
	b.engine.apply(b.lateOrders[n])
	b.lateOrders = slices.Delete(b.lateOrders, n, n+1)
}

// Guards against committing accelerator memory twice, when orders are answered, refused, unanswered, late or repeated,
// on an engine that ignores fencing, with lagging reports, agent restarts and engine restarts in any order.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &simulation{t: t, engine: &unfencedEngine{memory: map[ModelKey]engine.LoadedModel{}}, log: map[ModelKey]*Copy{}}
		b.engine.pastReports = append(b.engine.pastReports, b.engine.report())
		b.restartAgent()
		b.report()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 11).Draw(t, "step") {
			case 0, 1, 2, 3:
				b.load(b.key())
			case 4, 5:
				b.unload(b.key())
			case 6, 7:
				b.report()
			case 8, 9:
				b.deliverLate()
			case 10:
				b.restarted = true
				b.restartAgent()
			case 11:
				if rapid.IntRange(0, 3).Draw(t, "engine") == 0 {
					b.restartEngine()
				}
			}
			b.record()
			if used := b.engine.used(); used > testCapacity {
				t.Fatalf("bytes of the models in the engine: %d, want at most %d", used, testCapacity)
			}
			committed := b.ledger.CommittedBytes()
			if b.engine.used() > committed {
				t.Fatalf("bytes of the models in the engine: %d, want at most the %d that the ledger committed", b.engine.used(), committed)
			}
			// A successor cannot know that an old report lists a model which its predecessor freed.
			if committed > testCapacity && !b.restarted {
				t.Fatalf("bytes committed by the ledger: %d, want at most %d", committed, testCapacity)
			}
		}
	})
}

// Guards against memory that stays reserved for ever: the bytes of a settled model are free after its unload, those of
// an unanswered load order once the engine has acknowledged a higher fencing token or its process is gone.
func TestMemoryBecomesFree(t *testing.T) {
	key := ModelKey{Model: "a", Version: "1"}
	none := engine.LoadReport{Instance: "1"}
	tests := []struct {
		name string
		run  func(l *Ledger)
		free bool
	}{
		{"answered", func(l *Ledger) { l.OrderDone("1") }, true},
		{"unanswered, repeated and answered", func(l *Ledger) { l.OrderUnanswered("1"); l.BeginLoad(key, 8, "2"); l.OrderDone("2") }, false},
		{"answered late", func(l *Ledger) {
			l.OrderUnanswered("1")
			l.BeginLoad(key, 8, "2")
			l.OrderDone("2")
			l.OrderDone("1")
		}, true},
		{"fenced", func(l *Ledger) {
			l.OrderUnanswered("1")
			l.BeginLoad(key, 8, "2")
			l.OrderDone("2")
			l.SetFencing(9)
			l.ApplyReport(engine.LoadReport{Instance: "1", HonoursFencing: true, Fencing: 9})
		}, true},
		{"engine process gone", func(l *Ledger) {
			l.OrderUnanswered("1")
			l.ApplyReport(none)
			l.ApplyReport(engine.LoadReport{Instance: "2"})
			l.BeginLoad(key, 8, "2")
			l.OrderDone("2")
		}, true},
		{"engine process gone, no report of it after the last send", func(l *Ledger) {
			l.OrderUnanswered("1")
			l.ApplyReport(engine.LoadReport{Instance: "2"})
			l.BeginLoad(key, 8, "2")
			l.OrderDone("2")
		}, false},
	}
	for _, tt := range tests {
		l := NewLedger(testCapacity, 5)
		l.ApplyReport(none)
		l.BeginLoad(key, 8, "1")
		tt.run(l)
		l.BeginUnload(key, "u")
		l.OrderDone("u")
		l.ApplyReport(engine.LoadReport{Instance: l.instance})
		if _, held := l.Reservation(key); held == tt.free {
			t.Errorf("%s: bytes still reserved after the unload: %v, want %v", tt.name, held, !tt.free)
		}
	}
}
