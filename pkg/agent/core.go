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

// Core is the control logic of an agent: a state machine that turns events into actions. It does no I/O, reads no
// clock, and is called by one goroutine only; equal event sequences give equal actions.
type Core struct {
	id      Identity
	limits  Limits
	planner Planner

	now     time.Time
	actions []Action

	// config is the current configuration; nil until it has been read.
	config *object.Set
	// largestAdapterBytes is the size of the largest adapter in largestAdapterConfig.
	largestAdapterBytes  uint64
	largestAdapterConfig *object.Set
	configKnown          bool

	placement       *placement.Snapshot
	placementOffset uint64
	placementKnown  bool
	planCache       planCache
	// loadTurnSince is the time, by claim, at which this agent first saw that it was an unfinished claim's turn to load.
	// The plan lets StoreConcurrency claims load at the same time.
	loadTurnSince map[uint64]time.Time

	hosts   []infra.Host
	hostsAt time.Time

	// fencing is this agent's fencing token: the offset of its AgentStart record; 0 until that record has been read.
	fencing    uint64
	superseded bool
	// predecessorFencing is the fencing token of a predecessor that is known to have exited; 0 if there is none.
	predecessorFencing uint64
	// fenced is set while the engine refuses this agent's fencing token as too old.
	fenced bool
	// fenceAcked is set once the engine has acknowledged this agent's fencing token.
	fenceAcked bool

	report   engine.LoadReport
	reportAt time.Time
	// reportStale is set while the engine's report cannot be read.
	reportStale bool
	// engineUnreachable is set while connections to the engine's address fail.
	engineUnreachable bool
	// missingSince is the time since which the engine's reports have lacked a ready copy, by model version.
	missingSince map[placement.ModelKey]time.Time

	append appendState
	order  *modelOrder
	// orderSeq is the sequence number of the last order of this incarnation.
	orderSeq uint64
	// orderRetryAt is the earliest time of the next model order after a failed one.
	orderRetryAt time.Time
	// ledger is nil until the agent is announced.
	ledger *placement.Ledger
	// unsettledSince is the time since which the ledger has had unsettled load orders; zero if it has none.
	unsettledSince time.Time
	// lastHeldBytes is the number of held bytes in the last log event.
	lastHeldBytes uint64

	adapters adapterTable
	// preloaded holds, by claim, the adapters that were considered for loading ahead of requests.
	preloaded     map[uint64]map[AdapterKey]bool
	watch         watchState
	demand        demandState
	inFlight      RequestsCounted
	closedTargets map[string]bool

	stopping    bool
	stopped     bool
	refusal     *failure.Failure
	view        *View
	lastViewKey viewKey
}

// NewCore returns a core that has received no events.
func NewCore(id Identity, limits Limits, plan Planner) *Core {
	return &Core{
		id:            id,
		limits:        limits,
		planner:       plan,
		missingSince:  map[placement.ModelKey]time.Time{},
		adapters:      newAdapterTable(),
		preloaded:     map[uint64]map[AdapterKey]bool{},
		watch:         newWatchState(),
		demand:        newDemandState(),
		closedTargets: map[string]bool{},
	}
}

// Step applies one event and returns the resulting actions in the order in which they must be carried out.
func (c *Core) Step(now time.Time, e Event) []Action {
	c.now = now
	c.actions = nil
	e.apply(c)
	c.decide()
	return c.actions
}

// decide re-evaluates all decisions after an event.
func (c *Core) decide() {
	c.checkSuperseded()
	c.decideRefusal()
	c.decideAppend()
	c.decideOrder()
	c.decideAdapters()
	c.decidePings()
	c.logHeldMemory()
	c.decideStop()
	c.publish()
}

// authorized reports whether the core may send orders and append records for its runner.
func (c *Core) authorized() bool {
	return c.fencing > 0 && !c.superseded && c.placementKnown && c.configKnown
}

// reportFresh reports whether the last read of the engine's report succeeded.
func (c *Core) reportFresh() bool { return !c.reportAt.IsZero() && !c.reportStale }

func (c *Core) isEngine() bool { return c.id.Service == "" }

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) log(e eventlog.Event, fields ...any) { c.emit(WriteLog{Event: e, Fields: fields}) }

func (c *Core) addTimeline(kind timeline.Kind, object, detail string) {
	c.emit(AddTimeline{Event: timeline.Event{Kind: kind, Object: object, Detail: detail}})
}

// ownCopies returns the copies on this agent's runner.
func (c *Core) ownCopies() []placement.Copy {
	if c.placement == nil {
		return nil
	}
	return c.placement.ByRunner(c.id.Runner)
}
