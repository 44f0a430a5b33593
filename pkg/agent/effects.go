package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/object"
	"trefoilferry.example/ferry/pkg/queue"
	"trefoilferry.example/ferry/pkg/stream"
	"trefoilferry.example/ferry/pkg/timeline"
)

const (
	// pingTimeout bounds one ping; it stays below the watch interval.
	pingTimeout = 800 * time.Millisecond
	// resolveRetryDelay is the pause between two attempts to find out whether an append with unknown outcome is in the
	// log.
	resolveRetryDelay = 500 * time.Millisecond
)

// Pinger asks another agent whether it is alive.
type Pinger interface {
	Ping(ctx context.Context, address string) error
}

// Effects carries out the actions of the core. Each call to another process runs in its own goroutine.
type Effects struct {
	Send      func(Event)
	View      *atomic.Pointer[View]
	Requests  *RequestTracker
	Admission *AdmissionQueue
	Adapters  *AdapterPins
	Engine    engine.Engine
	Writer    *stream.Writer
	Pinger    Pinger
	Clock     clock.Clock
	Logger    *eventlog.Logger
	Ring      *timeline.Ring
	Metrics   *Metrics
	// OrderTimeout is the timeout of one order.
	OrderTimeout time.Duration
	// Refresh is called after an append or an order, to read the placement stream and the engine's report at once.
	Refresh func()
	// SetServiceRunners is called with the number of runners of this agent's service; 0 for a model engine.
	SetServiceRunners func(n int)
	// Drained is called when the last request has finished after a stop was requested.
	Drained func()

	ctx     context.Context
	running sync.WaitGroup
	// set is the last configuration that was applied.
	set *object.Set
}

// Start sets the context of all calls. It must be called before Do.
func (f *Effects) Start(ctx context.Context) { f.ctx = ctx }

// Wait returns when all calls have returned.
func (f *Effects) Wait() { f.running.Wait() }

// Do carries out one action without blocking. Only the control goroutine calls it.
func (f *Effects) Do(a Action) {
	switch a := a.(type) {
	case AppendRecord:
		f.running.Go(func() { f.append(a) })
	case SendOrder:
		f.running.Go(func() { f.order(a.Order) })
	case SendPing:
		f.running.Go(func() { f.ping(a) })
	case CloseTarget:
		f.Requests.Close(a.Target)
	case OpenTarget:
		f.Requests.Open(a.Target)
	case SetRefusal:
		f.Requests.SetRefusal(a.Failure)
	case ResolveAdapter:
		f.Adapters.Resolve(a.Request, a.Err)
	case PublishView:
		f.publish(a.View)
	case WriteLog:
		f.Logger.Log(a.Event, a.Fields...)
	case AddTimeline:
		f.Ring.Add(a.Event)
	case Drained:
		f.Drained()
	}
}

// append appends a record and reports the result only when it is certain: after an append with unknown outcome it calls
// Resolve until it is known whether the record is in the log.
func (f *Effects) append(a AppendRecord) {
	envelope := &ferrypb.Envelope{Payload: &ferrypb.Envelope_Placement{Placement: a.Record}}
	offset, err := f.Writer.Append(f.ctx, envelope)
	for err != nil && failure.From(err).Outcome == failure.Unknown {
		select {
		case <-f.ctx.Done():
			return
		case <-f.Clock.After(resolveRetryDelay):
		}
		offset, err = f.Writer.Resolve(f.ctx)
	}
	f.Send(AppendDone{Ref: a.Ref, Offset: offset, Err: err})
	f.Refresh()
}

func (f *Effects) order(o engine.Order) {
	ctx, cancel := context.WithTimeout(f.ctx, f.OrderTimeout)
	defer cancel()
	err := f.Engine.Order(ctx, o)
	f.Metrics.orderDone(o.Kind, err)
	f.Send(OrderDone{ID: o.ID, Err: err})
	f.Refresh()
}

func (f *Effects) ping(a SendPing) {
	ctx, cancel := context.WithTimeout(f.ctx, pingTimeout)
	defer cancel()
	f.Send(PingDone{Runner: a.Runner, Err: f.Pinger.Ping(ctx, a.Address)})
}

// publish replaces the view and passes the engine's rates and the published caps to the admission queue.
func (f *Effects) publish(v *View) {
	f.View.Store(v)
	f.Metrics.setView(v)
	f.SetServiceRunners(v.ServiceRunners)
	f.Admission.SetRates(queue.Rates{
		Slots:                  int(v.Report.MaxRunning),
		PrefillTokensPerSecond: v.Report.PrefillTokensPerSecond,
		DecodeTokensPerSecond:  v.Report.DecodeTokensPerSecond,
	})
	if v.Config != nil && v.Config != f.set {
		f.set = v.Config
		f.Admission.SetCaps(v.Config.Caps())
		f.Ring.Add(timeline.Event{Kind: timeline.ConfigApplied})
		f.Logger.Log(eventlog.ConfigApplied, "offset", v.Config.Offset)
	}
}
