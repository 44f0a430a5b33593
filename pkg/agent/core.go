package agent

import (
	"time"

	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/object"
	"trefoilferry.example/ferry/pkg/placement"
	"trefoilferry.example/ferry/pkg/timeline"
)

// Core is the control logic of an agent. It is owned by one goroutine and deterministic in the events it gets.
type Core struct {
	id     Identity
	limits Limits
	plan   Planner

	now time.Time
	out []Action

	set *object.Set
	// largestBytes is the size of the largest adapter in adaptersOf.
	largestBytes uint64
	adaptersOf   *object.Set
	configKnown  bool

	placement       *placement.Snapshot
	placementOffset uint64
	placementKnown  bool
	memo            planMemo
	// turnSince tells since when the agent has seen each unfinished claim hold its turn to load.
	turnSince map[uint64]time.Time

	hosts   []infra.Host
	hostsAt time.Time

	// fencing is the offset of the own AgentStart; 0 before it was read back.
	fencing    uint64
	superseded bool
	// exitedFencing is the fencing number of a predecessor that is known to have exited; 0 if none is.
	exitedFencing uint64
	// fenced is set while the engine refuses the own fencing number as too old.
	fenced bool
	// fenceAcked is set once the engine has acknowledged the own number.
	fenceAcked bool

	report   engine.Report
	reportAt time.Time
	// reportOld is set while reports fail.
	reportOld bool
	// engineGone is set while nothing listens at the engine's address.
	engineGone bool
	// lost tells since when the report lacks a ready copy.
	lost map[placement.Key]time.Time

	append appendState
	order  *modelOrder
	// orderSeq numbers the orders of this incarnation.
	orderSeq uint64
	// orderPause delays the next model order after a failure.
	orderPause time.Time
	// ledger is nil until the agent is announced.
	ledger      *placement.Ledger
	unsettledAt time.Time
	// heldBytes was last reported as held.
	heldBytes uint64

	adapters adapterTable
	watch    watchState
	demand   demandState
	work     WorkCounted
	closed   map[string]bool

	stopping bool
	stopped  bool
	refusal  *failure.Failure
	view     *View
	lastView viewKey
}

// NewCore returns a core that has seen nothing yet.
func NewCore(id Identity, limits Limits, plan Planner) *Core {
	return &Core{
		id:       id,
		limits:   limits,
		plan:     plan,
		lost:     map[placement.Key]time.Time{},
		adapters: newAdapterTable(),
		watch:    newWatchState(),
		demand:   newDemandState(),
		closed:   map[string]bool{},
	}
}

// Step takes one event at a time and returns the actions that follow from it, in order.
func (c *Core) Step(now time.Time, e Event) []Action {
	c.now = now
	c.out = nil
	e.apply(c)
	c.decide()
	return c.out
}

func (c *Core) decide() {
	c.checkSuperseded()
	c.decideRefusal()
	c.decideAppend()
	c.decideOrder()
	c.decideAdapters()
	c.decidePings()
	c.reportHeld()
	c.decideStop()
	c.publish()
}

// commands reports whether the core may give orders and append records in the name of its runner.
func (c *Core) commands() bool {
	return c.fencing > 0 && !c.superseded && c.placementKnown && c.configKnown
}

// engineKnown reports whether a current report of the engine is there.
func (c *Core) engineKnown() bool { return !c.reportAt.IsZero() && !c.reportOld }

func (c *Core) isEngine() bool { return c.id.Service == "" }

func (c *Core) do(a Action) { c.out = append(c.out, a) }

func (c *Core) log(e eventlog.Event, fields ...any) { c.do(WriteLog{Event: e, Fields: fields}) }

func (c *Core) note(kind timeline.Kind, object, detail string) {
	c.do(AddTimeline{Event: timeline.Event{Kind: kind, Object: object, Detail: detail}})
}

// own returns the copies of the own runner.
func (c *Core) own() []placement.Copy {
	if c.placement == nil {
		return nil
	}
	return c.placement.ByRunner(c.id.Runner)
}
