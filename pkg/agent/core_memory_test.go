package agent

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/object"
)

// flight is an order on its way to the engine. It may be carried out late, and twice, until it is answered; an answered
// order is over, since it was sent once over a connection of its own.
type flight struct {
	order   engine.Order
	applied int
	// core is the core that waits for the answer; nil once the answer is given or lost.
	core *Core
}

// memorySim is a simulation with an engine that loses, delays and repeats orders, and with agents that were replaced
// but still run.
type memorySim struct {
	*coreSim
	rt      *rapid.T
	flights []*flight
	zombies []*Core
	starts  int
	// address counts the addresses of the agents; one that still runs keeps its own.
	address int
	fencing bool
}

// collect moves new orders into flight.
func (m *memorySim) collect() {
	for _, o := range m.sent {
		m.flights = append(m.flights, &flight{order: o, core: m.core})
	}
	m.sent = nil
}

// deliver lets the engine receive one order and maybe answer it.
func (m *memorySim) deliver(f *flight, answered bool) {
	var err error
	if m.fencing && f.order.Fencing < m.report.Fencing {
		err = failure.New(failure.OrderFenced, failure.NotRun, "order has an old fencing number")
	} else {
		m.apply(f.order)
	}
	f.applied++
	m.checkMemory(f.order)
	if answered {
		m.flights = slices.DeleteFunc(m.flights, func(other *flight) bool { return other == f })
		m.settle(f, err)
	}
}

func (m *memorySim) settle(f *flight, err error) {
	core := f.core
	f.core = nil
	if core == m.core {
		m.step(OrderDone{ID: f.order.ID, Err: err})
		m.collect()
	}
}

func (m *memorySim) checkMemory(last engine.Order) {
	used := uint64(0)
	for _, l := range m.report.Models {
		used += l.Bytes
	}
	if used > 10*gib {
		m.rt.Fatalf("engine holds %d bytes of %d after %+v: %+v", used, 10*gib, last, m.report.Models)
	}
}

func (m *memorySim) pickFlight(t *rapid.T, open bool) *flight {
	var out []*flight
	for _, f := range m.flights {
		if f.applied < 2 && (!open || f.core != nil) {
			out = append(out, f)
		}
	}
	if len(out) == 0 {
		return nil
	}
	return rapid.SampledFrom(out).Draw(t, "flight")
}

func (m *memorySim) publishSome(t *rapid.T) {
	var objects []*ferrypb.Object
	for i, size := range []string{"3GiB", "4GiB", "5GiB", "6GiB"} {
		if rapid.Bool().Draw(t, "published") {
			objects = append(objects, simModel(fmt.Sprintf("m%d", i), size))
		}
	}
	m.set, _ = object.NewSet(m.set.Offset+1, objects)
	m.step(ConfigRead{Set: m.set, CaughtUp: true})
}

// restartAgent replaces the agent by one at the same address after its exit, or by one at another address while it goes on.
func (m *memorySim) restartAgent(exited bool) {
	m.collect()
	if !exited {
		m.zombies = append(m.zombies, m.core)
		m.address++
	}
	m.starts++
	identity := simIdentity(fmt.Sprintf("i%d", m.starts), m.fencing)
	identity.Address = fmt.Sprintf("127.0.0.%d:1", m.address)
	m.restart(identity)
}

// wakeZombie lets a replaced agent act on what it knew when it was replaced.
func (m *memorySim) wakeZombie(t *rapid.T) {
	if len(m.zombies) == 0 {
		return
	}
	zombie := rapid.SampledFrom(m.zombies).Draw(t, "zombie")
	for _, a := range zombie.Step(m.now, Tick{}) {
		if o, ok := a.(SendOrder); ok {
			m.flights = append(m.flights, &flight{order: o.Order})
		}
	}
}

// restartEngine replaces the engine process; orders to the old one are void.
func (m *memorySim) restartEngine() {
	lost := slices.Clone(m.flights)
	m.flights = nil
	m.report.Models = nil
	m.report.Fencing = 0
	m.report.Instance += "+"
	for _, f := range lost {
		if f.core != nil {
			m.settle(f, errLost)
		}
	}
}

func (m *memorySim) act(t *rapid.T) {
	switch rapid.IntRange(0, 10).Draw(t, "act") {
	case 0, 1:
		m.pass(time.Duration(rapid.IntRange(1, 8).Draw(t, "halfSeconds")) * 500 * time.Millisecond)
	case 2, 3, 4:
		if f := m.pickFlight(t, true); f != nil {
			m.deliver(f, true)
		}
	case 5:
		if f := m.pickFlight(t, true); f != nil {
			m.settle(f, errLost)
		}
	case 6:
		if f := m.pickFlight(t, false); f != nil {
			m.deliver(f, false)
		}
	case 7:
		m.publishSome(t)
	case 8:
		m.restartAgent(rapid.Bool().Draw(t, "exited"))
	case 9:
		m.wakeZombie(t)
	case 10:
		m.restartEngine()
	}
	m.collect()
}

// Guards against accelerator memory that is committed beyond its size when orders are lost, late or repeated, agents
// are replaced while they go on running, and models come and go, at engines that honour fencing and at ones that do not.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fencing := rapid.Bool().Draw(t, "fencing")
		m := &memorySim{rt: t, fencing: fencing, starts: 1, address: 1,
			coreSim: newCoreSim(t, simIdentity("i1", fencing), simModel("m0", "3GiB"), simModel("m3", "6GiB"))}
		m.collect()
		steps := rapid.IntRange(1, 150).Draw(t, "steps")
		for range steps {
			m.act(t)
		}
	})
}
