package entry

import (
	"context"
	"sync/atomic"

	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/timeline"
)

// eventQueue is the number of events that may wait; reports of traffic goroutines beyond it are dropped,
// because the next request repeats them.
const eventQueue = 1024

// ControlLoop owns the control state and publishes snapshots.
type ControlLoop struct {
	state     *ControlState
	snapshots *Snapshots
	events    chan ControlEvent
	poke      chan uint64
	// poked is the highest offset for which a read was asked.
	poked   atomic.Uint64
	clock   clock.Clock
	ring    *timeline.Ring
	log     *eventlog.Logger
	metrics *Metrics
}

// NewControlLoop returns a loop that publishes to snapshots.
func NewControlLoop(snapshots *Snapshots, c clock.Clock, ring *timeline.Ring, log *eventlog.Logger, metrics *Metrics) *ControlLoop {
	return &ControlLoop{
		state:     NewControlState(),
		snapshots: snapshots,
		events:    make(chan ControlEvent, eventQueue),
		poke:      make(chan uint64, 1),
		clock:     c,
		ring:      ring,
		log:       log,
		metrics:   metrics,
	}
}

// Run applies events until ctx ends.
func (l *ControlLoop) Run(ctx context.Context) {
	for {
		select {
		case e := <-l.events:
			l.apply(e)
		case <-ctx.Done():
			return
		}
	}
}

func (l *ControlLoop) apply(e ControlEvent) {
	effects := l.state.Step(e, l.clock.Now())
	if effects.Publish {
		snapshot := l.state.Snapshot()
		l.snapshots.Store(snapshot)
		l.metrics.configOffset.Set(float64(snapshot.ConfigOffset))
	}
	if effects.Suspected != "" {
		l.ring.Add(timeline.Event{Kind: timeline.HostSuspected, Host: effects.Suspected})
		l.log.Log(eventlog.HostSuspected, "runner", effects.Suspected)
	}
	if effects.BecameReady {
		l.log.Log(eventlog.ProcessReady, "config_offset", l.state.current.ConfigOffset)
	}
}

// Send passes an event on and waits for a place in the queue.
func (l *ControlLoop) Send(ctx context.Context, e ControlEvent) {
	select {
	case l.events <- e:
	case <-ctx.Done():
	}
}

// Poke returns a channel that receives an offset of the configuration that other processes have seen.
func (l *ControlLoop) Poke() <-chan uint64 { return l.poke }

// RunnerFailed implements Reporter.
func (l *ControlLoop) RunnerFailed(runner string) { l.offer(RunnerFailed{Runner: runner}) }

// RunnerAnswered implements Reporter. Only answers of suspects change the state.
func (l *ControlLoop) RunnerAnswered(runner string) {
	if _, suspected := l.snapshots.Load().Suspects[runner]; suspected {
		l.offer(RunnerAnswered{Runner: runner})
	}
}

// Observed implements Reporter. Each offset asks for one read only: while the log is out, reads at the rate of
// messages would delay its return.
func (l *ControlLoop) Observed(offset uint64) {
	known := l.poked.Load()
	if offset <= max(known, l.snapshots.Load().ConfigOffset) || !l.poked.CompareAndSwap(known, offset) {
		return
	}
	select {
	case l.poke <- offset:
	default:
	}
}

func (l *ControlLoop) offer(e ControlEvent) {
	select {
	case l.events <- e:
	default:
	}
}
