package entry

import (
	"context"
	"sync/atomic"

	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/timeline"
)

// eventQueueSize is the capacity of the event queue. When it is full, reports of request goroutines are dropped; the
// next request reports the same again.
const eventQueueSize = 1024

// ControlLoop owns the ControlState, applies events to it and publishes snapshots.
type ControlLoop struct {
	state        *ControlState
	snapshots    *Snapshots
	events       chan ControlEvent
	newerOffsets chan uint64
	// highestObserved is the highest configuration offset for which a read was requested.
	highestObserved atomic.Uint64
	clock           clock.Clock
	ring            *timeline.Ring
	log             *eventlog.Logger
	metrics         *Metrics
}

// NewControlLoop returns a loop that publishes to snapshots.
func NewControlLoop(snapshots *Snapshots, c clock.Clock, ring *timeline.Ring, log *eventlog.Logger, metrics *Metrics) *ControlLoop {
	return &ControlLoop{
		state:        NewControlState(),
		snapshots:    snapshots,
		events:       make(chan ControlEvent, eventQueueSize),
		newerOffsets: make(chan uint64, 1),
		clock:        c,
		ring:         ring,
		log:          log,
		metrics:      metrics,
	}
}

// Run applies events until ctx is done.
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
	effects := l.state.Apply(e, l.clock.Now())
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

// Send queues an event. It blocks while the queue is full, until ctx is done.
func (l *ControlLoop) Send(ctx context.Context, e ControlEvent) {
	select {
	case l.events <- e:
	case <-ctx.Done():
	}
}

// NewerOffsets returns a channel that receives the configuration offsets that other processes have, and that this one
// has not read yet.
func (l *ControlLoop) NewerOffsets() <-chan uint64 { return l.newerOffsets }

// RunnerFailed implements Reporter.
func (l *ControlLoop) RunnerFailed(runner string) { l.trySend(RunnerFailed{Runner: runner}) }

// RunnerResponded implements Reporter. Responses of runners that are not suspected are ignored.
func (l *ControlLoop) RunnerResponded(runner string) {
	if _, suspected := l.snapshots.Load().Suspects[runner]; suspected {
		l.trySend(RunnerResponded{Runner: runner})
	}
}

// ObserveConfigOffset implements Reporter. Each offset triggers at most one read: during an outage of the log, a read
// for every message would slow its recovery.
func (l *ControlLoop) ObserveConfigOffset(offset uint64) {
	known := l.highestObserved.Load()
	if offset <= max(known, l.snapshots.Load().ConfigOffset) || !l.highestObserved.CompareAndSwap(known, offset) {
		return
	}
	select {
	case l.newerOffsets <- offset:
	default:
	}
}

// trySend queues an event, or drops it if the queue is full.
func (l *ControlLoop) trySend(e ControlEvent) {
	select {
	case l.events <- e:
	default:
	}
}
