package placement

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"trefoilferry.example/ferry/pkg/engine"
)

// laxEngine ignores fencing and its own capacity and carries out whatever arrives.
type laxEngine struct {
	instance int
	memory   map[Key]engine.LoadedModel
	// past are reports of earlier states of this instance.
	past []engine.Report
}

func (e *laxEngine) apply(o engine.Order) {
	key := Key{Model: o.Model, Version: o.Version}
	if o.Kind == engine.UnloadModel {
		delete(e.memory, key)
	} else if _, ok := e.memory[key]; !ok {
		e.memory[key] = engine.LoadedModel{Model: o.Model, Version: o.Version, Bytes: o.Bytes, OrderID: o.ID}
	}
	e.past = append(e.past, e.report())
}

func (e *laxEngine) report() engine.Report {
	r := engine.Report{Instance: fmt.Sprint(e.instance)}
	for _, m := range e.memory {
		r.Models = append(r.Models, m)
	}
	return r
}

func (e *laxEngine) used() uint64 {
	total := uint64(0)
	for _, m := range e.memory {
		total += m.Bytes
	}
	return total
}

const testCapacity = 30

// bench is one runner: its engine, the ledger of the current agent and the copies that the log shows.
type bench struct {
	t       *rapid.T
	engine  *laxEngine
	ledger  *Ledger
	log     map[Key]*Copy
	late    []engine.Order
	claims  uint64
	fencing uint64
	// seen is the index of the last report given to the agent; reports lag but do not run backwards.
	seen int
	// restarted is true once a successor has taken over.
	restarted bool
}

func (b *bench) key() Key {
	return Key{Model: rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(b.t, "model"), Version: "1"}
}

func keyBytes(k Key) uint64 { return 8 + 2*uint64(k.Model[0]-'a') }

// load claims and loads a model as an agent does: the claim is in the log before the order is sent.
func (b *bench) load(key Key) {
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
		b.log[key] = &Copy{Claim: b.claims, Model: key.Model, Version: key.Version, State: Claimed,
			ClaimFencing: b.fencing, Bytes: keyBytes(key)}
	}
	b.send(engine.Order{ID: id, Kind: engine.LoadModel, Model: key.Model, Version: key.Version, Bytes: keyBytes(key)})
}

func (b *bench) unload(key Key) {
	id := b.nextID()
	if !b.ledger.BeginUnload(key, id) {
		return
	}
	if c, ok := b.log[key]; ok {
		c.State = Released
	}
	b.send(engine.Order{ID: id, Kind: engine.UnloadModel, Model: key.Model, Version: key.Version})
}

func (b *bench) nextID() string {
	b.claims++
	return fmt.Sprintf("o%d", b.claims)
}

func (b *bench) send(o engine.Order) {
	switch rapid.IntRange(0, 5).Draw(b.t, "network") {
	case 0, 1, 2:
		b.engine.apply(o)
		b.engine.apply(o)
		b.ledger.OrderDone(o.ID)
	case 3:
		b.ledger.OrderRefused(o.ID)
	case 4:
		b.ledger.OrderLost(o.ID)
		for range rapid.IntRange(0, 2).Draw(b.t, "copies") {
			b.late = append(b.late, o)
		}
	case 5:
		b.engine.apply(o)
		b.late = append(b.late, o)
		b.ledger.OrderLost(o.ID)
	}
}

// record writes what the agent knows to the log: ready, freed and abandoned copies.
func (b *bench) record() {
	for key, c := range b.log {
		i, held := b.ledger.Get(key)
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

func (b *bench) restartAgent() {
	b.claims++
	b.fencing = b.claims
	b.ledger = NewLedger(testCapacity, b.fencing)
	for _, c := range b.log {
		b.ledger.Adopt(*c)
	}
}

func (b *bench) restartEngine() {
	b.engine.instance++
	b.engine.memory = map[Key]engine.LoadedModel{}
	// Connections to the former process are gone, and with them the orders under way.
	b.late = nil
	b.engine.past = append(b.engine.past, b.engine.report())
	b.seen = len(b.engine.past) - 1
	b.ledger.Report(b.engine.report())
}

func (b *bench) report() {
	b.seen = rapid.IntRange(b.seen, len(b.engine.past)-1).Draw(b.t, "report")
	b.ledger.Report(b.engine.past[b.seen])
}

func (b *bench) deliverLate() {
	if len(b.late) == 0 {
		return
	}
	n := rapid.IntRange(0, len(b.late)-1).Draw(b.t, "late order")
	b.engine.apply(b.late[n])
	b.late = slices.Delete(b.late, n, n+1)
}

// Guards against accelerator memory that is committed twice: orders answered, refused, lost, late and repeated, on
// an engine that ignores fencing, with lagging reports, agent restarts and engine restarts in any order.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &bench{t: t, engine: &laxEngine{memory: map[Key]engine.LoadedModel{}}, log: map[Key]*Copy{}}
		b.engine.past = append(b.engine.past, b.engine.report())
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
				t.Fatalf("engine holds %d of %d bytes", used, testCapacity)
			}
			committed := b.ledger.Committed()
			if b.engine.used() > committed {
				t.Fatalf("engine holds %d bytes, ledger committed %d", b.engine.used(), committed)
			}
			// A successor cannot tell that an old report shows a model that its predecessor freed.
			if committed > testCapacity && !b.restarted {
				t.Fatalf("ledger committed %d of %d bytes", committed, testCapacity)
			}
		}
	})
}

// Guards against memory that is never usable again: a settled model's bytes are free after its unload, a lost
// order's bytes once the engine acknowledged a higher fencing number or its process is gone.
func TestMemoryBecomesFree(t *testing.T) {
	key := Key{Model: "a", Version: "1"}
	none := engine.Report{Instance: "1"}
	tests := []struct {
		name string
		run  func(l *Ledger)
		free bool
	}{
		{"answered", func(l *Ledger) { l.OrderDone("1") }, true},
		{"lost then answered", func(l *Ledger) { l.OrderLost("1"); l.BeginLoad(key, 8, "2"); l.OrderDone("2") }, false},
		{"answered late", func(l *Ledger) {
			l.OrderLost("1")
			l.BeginLoad(key, 8, "2")
			l.OrderDone("2")
			l.OrderDone("1")
		}, true},
		{"fenced", func(l *Ledger) {
			l.OrderLost("1")
			l.BeginLoad(key, 8, "2")
			l.OrderDone("2")
			l.SetFencing(9)
			l.Report(engine.Report{Instance: "1", HonoursFencing: true, Fencing: 9})
		}, true},
		{"engine process gone", func(l *Ledger) {
			l.OrderLost("1")
			l.Report(none)
			l.Report(engine.Report{Instance: "2"})
			l.BeginLoad(key, 8, "2")
			l.OrderDone("2")
		}, true},
		{"engine process gone, last order unseen", func(l *Ledger) {
			l.OrderLost("1")
			l.Report(engine.Report{Instance: "2"})
			l.BeginLoad(key, 8, "2")
			l.OrderDone("2")
		}, false},
	}
	for _, tt := range tests {
		l := NewLedger(testCapacity, 5)
		l.Report(none)
		l.BeginLoad(key, 8, "1")
		tt.run(l)
		l.BeginUnload(key, "u")
		l.OrderDone("u")
		l.Report(engine.Report{Instance: l.instance})
		if _, held := l.Get(key); held == tt.free {
			t.Errorf("%s: held %v, want free %v", tt.name, held, tt.free)
		}
	}
}
