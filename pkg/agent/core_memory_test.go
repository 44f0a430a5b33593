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

// inFlightOrder is an order that was sent to the engine and got no response. The engine may carry it out late, and
// twice. An order with a response cannot arrive again, since it was sent once over a connection of its own.
type inFlightOrder struct {
	order      engine.Order
	deliveries int
	// core is the core that waits for the response; nil once the response was delivered or lost.
	core *Core
}

// memorySim is a simulation in which orders to the engine are lost, delayed and delivered twice, and in which
// superseded agents keep running.
type memorySim struct {
	*coreSim
	rt             *rapid.T
	ordersInFlight []*inFlightOrder
	superseded     []*Core
	incarnations   int
	// address is the number of the current agent's address; a superseded agent that still runs keeps its own.
	address int
	fencing bool
}

// collect moves the new orders of the core to ordersInFlight.
func (m *memorySim) collect() {
	for _, o := range m.unanswered {
		m.ordersInFlight = append(m.ordersInFlight, &inFlightOrder{order: o, core: m.core})
	}
	m.unanswered = nil
}

// deliver lets the engine receive one order and, if answered is set, respond to it.
func (m *memorySim) deliver(f *inFlightOrder, answered bool) {
	var err error
	if m.fencing && f.order.Fencing < m.report.Fencing {
		err = failure.New(failure.OrderFenced, failure.NotRun, "order has an old fencing token")
	} else {
		m.apply(f.order)
	}
	f.deliveries++
	m.checkMemory(f.order)
	if answered {
		m.ordersInFlight = slices.DeleteFunc(m.ordersInFlight, func(other *inFlightOrder) bool { return other == f })
		m.finish(f, err)
	}
}

// finish delivers the result of an order to the core that sent it, unless that core has been replaced.
func (m *memorySim) finish(f *inFlightOrder, err error) {
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
		m.rt.Fatalf("engine uses %d bytes, limit %d, after order %+v: models %+v", used, 10*gib, last, m.report.Models)
	}
}

func (m *memorySim) pickInFlight(t *rapid.T, open bool) *inFlightOrder {
	var out []*inFlightOrder
	for _, f := range m.ordersInFlight {
		if f.deliveries < 2 && (!open || f.core != nil) {
			out = append(out, f)
		}
	}
	if len(out) == 0 {
		return nil
	}
	return rapid.SampledFrom(out).Draw(t, "flight")
}

func (m *memorySim) publishModels(t *rapid.T) {
	var objects []*ferrypb.Object
	for i, size := range []string{"3GiB", "4GiB", "5GiB", "6GiB"} {
		if rapid.Bool().Draw(t, "published") {
			objects = append(objects, simModel(fmt.Sprintf("m%d", i), size))
		}
	}
	m.config, _ = object.NewSet(m.config.Offset+1, objects)
	m.step(ConfigRead{Config: m.config, CaughtUp: true})
}

// restartAgent replaces the agent: by one at the same address if it has exited, or by one at another address while it
// keeps running.
func (m *memorySim) restartAgent(exited bool) {
	m.collect()
	if !exited {
		m.superseded = append(m.superseded, m.core)
		m.address++
	}
	m.incarnations++
	identity := simIdentity(fmt.Sprintf("i%d", m.incarnations), m.fencing)
	identity.Address = fmt.Sprintf("127.0.0.%d:1", m.address)
	m.restart(identity)
}

// tickSuperseded sends a Tick to a superseded agent, which still acts on the state that it had when it was replaced.
func (m *memorySim) tickSuperseded(t *rapid.T) {
	if len(m.superseded) == 0 {
		return
	}
	agent := rapid.SampledFrom(m.superseded).Draw(t, "zombie")
	for _, a := range agent.Step(m.now, Tick{}) {
		if o, ok := a.(SendOrder); ok {
			m.ordersInFlight = append(m.ordersInFlight, &inFlightOrder{order: o.Order})
		}
	}
}

// restartEngine replaces the engine process. Orders that were sent to the old process are lost.
func (m *memorySim) restartEngine() {
	lost := slices.Clone(m.ordersInFlight)
	m.ordersInFlight = nil
	m.report.Models = nil
	m.report.Fencing = 0
	m.report.Instance += "+"
	for _, f := range lost {
		if f.core != nil {
			m.finish(f, errNoResponse)
		}
	}
}

func (m *memorySim) act(t *rapid.T) {
	switch rapid.IntRange(0, 10).Draw(t, "act") {
	case 0, 1:
		m.advance(time.Duration(rapid.IntRange(1, 8).Draw(t, "halfSeconds")) * 500 * time.Millisecond)
	case 2, 3, 4:
		if f := m.pickInFlight(t, true); f != nil {
			m.deliver(f, true)
		}
	case 5:
		if f := m.pickInFlight(t, true); f != nil {
			m.finish(f, errNoResponse)
		}
	case 6:
		if f := m.pickInFlight(t, false); f != nil {
			m.deliver(f, false)
		}
	case 7:
		m.publishModels(t)
	case 8:
		m.restartAgent(rapid.Bool().Draw(t, "exited"))
	case 9:
		m.tickSuperseded(t)
	case 10:
		m.restartEngine()
	}
	m.collect()
}

// Guards against overcommitted accelerator memory when orders are lost, late or duplicated, when superseded agents keep
// running, and when models are published and removed, with engines that honour fencing and with engines that do not.
func TestMemoryIsNeverOvercommitted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fencing := rapid.Bool().Draw(t, "fencing")
		m := &memorySim{rt: t, fencing: fencing, incarnations: 1, address: 1,
			coreSim: newCoreSim(t, simIdentity("i1", fencing), simModel("m0", "3GiB"), simModel("m3", "6GiB"))}
		m.collect()
		steps := rapid.IntRange(1, 150).Draw(t, "steps")
		for range steps {
			m.act(t)
		}
	})
}
