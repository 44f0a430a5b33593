package agent

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/queue"
	"trefoilferry.example/ferry/pkg/timeline"
)

// Deps are the outside systems and tools of an agent.
type Deps struct {
	Settings    *Settings
	Incarnation string
	// Seed spreads the checkpoints of several agents.
	Seed  uint64
	Clock clock.Clock
	Log   infra.Log
	Hosts infra.HostList
	// Engine is nil for a service runner.
	Engine engine.Engine
	// Service is nil for a model engine.
	Service ServiceClient
	// Client calls peers.
	Client  *http.Client
	Logger  *eventlog.Logger
	Metrics *Metrics
	// Failed is called when a server ends by itself; nil does nothing.
	Failed func(error)
}

// Daemon is one running agent.
type Daemon struct {
	deps     Deps
	ring     *timeline.Ring
	view     *atomic.Pointer[View]
	work     *Work
	gate     *Gate
	prefixes *PrefixIndex
	chains   *PromptChains
	adapters *Adapters
	control  *Control
	effects  *Effects
	streams  *streams
	// report is nil for a service runner.
	report *poller
	exec   *ExecServer

	servers []*listener
	cancel  context.CancelFunc
	running sync.WaitGroup
	drained chan struct{}
}

// New builds an agent that does nothing yet.
func New(deps Deps) *Daemon {
	s := deps.Settings
	if deps.Failed == nil {
		deps.Failed = func(error) {}
	}
	d := &Daemon{
		deps:     deps,
		ring:     timeline.NewRing(s.Host.Name, deps.Incarnation, timeline.DefaultCapacity, deps.Clock.Now),
		view:     &atomic.Pointer[View]{},
		work:     NewWork(),
		gate:     NewGate(queueConfig(s), deps.Clock),
		prefixes: NewPrefixIndex(s.Queue.PrefixIndex),
		chains:   NewPromptChains(chainBlocksPerPrefix * s.Queue.PrefixIndex),
		drained:  make(chan struct{}),
	}
	id := identityOf(s, deps.Incarnation)
	d.view.Store(startView(id))
	d.adapters = NewAdapters(func(e Event) { d.control.Send(e) })
	d.effects = d.newEffects()
	d.control = NewControl(NewCore(id, limitsOf(s), plannerOf(s)), deps.Clock, d.work, d.effects.Do)
	d.streams = newStreams(d)
	d.exec = d.newExec()
	if deps.Engine != nil {
		source := &engineSource{engine: deps.Engine, prefixes: d.prefixes, send: d.control.Send}
		d.report = newPoller(deps.Clock, s.Backend.ReportInterval, source.poll)
	}
	return d
}

// startView refuses everything until the core has published its first view.
func startView(id Identity) *View {
	return &View{Identity: id, ServedAs: id.Incarnation, Refusal: failure.New(failure.NotReady, failure.NotRun, "agent is starting")}
}

func queueConfig(s *Settings) queue.Config {
	return queue.Config{
		MaxQueued:    s.Queue.MaxQueued,
		Patience:     s.Queue.Patience,
		PriorityStep: s.Queue.PriorityStep,
		MaxPriority:  s.Queue.MaxPriority,
		LongPrefill:  s.Queue.LongPrefill,
		LongShare:    s.Queue.LongShare,
		LateShare:    s.Queue.LateShare,
	}
}

func (d *Daemon) newEffects() *Effects {
	return &Effects{
		Send:         func(e Event) { d.control.Send(e) },
		View:         d.view,
		Work:         d.work,
		Gate:         d.gate,
		Adapters:     d.adapters,
		Engine:       d.deps.Engine,
		Writer:       newWriter(d, placementStream, ""),
		Pinger:       &twirpPinger{client: d.deps.Client, ring: d.ring, configOffset: d.configOffset},
		Clock:        d.deps.Clock,
		Logger:       d.deps.Logger,
		Ring:         d.ring,
		Metrics:      d.deps.Metrics,
		OrderTimeout: d.deps.Settings.Backend.OrderTimeout,
		Changed:      d.changed,
		Runners:      func(n int) { d.streams.setRunners(n) },
		Stopped:      func() { close(d.drained) },
	}
}

func (d *Daemon) newExec() *ExecServer {
	s := d.deps.Settings
	return &ExecServer{
		View:     d.view,
		Work:     d.work,
		Gate:     d.gate,
		Prefixes: d.prefixes,
		Chains:   d.chains,
		Adapters: d.adapters,
		Engine:   d.deps.Engine,
		Service:  d.deps.Service,
		Keys:     d.streams.keeper,
		Calls:    make(chan struct{}, s.Backend.MaxCalls),
		Clock:    d.deps.Clock,
		Ring:     d.ring,
		Logger:   d.deps.Logger,
		Metrics:  d.deps.Metrics,
		Behind:   d.behind,
		MaxBody:  int64(s.Listen.MaxBodyBytes),
		KeyBody:  int64(s.Keys.BodyBytes),
	}
}

func (d *Daemon) configOffset() uint64 { return d.view.Load().ConfigOffset() }

// behind makes sure that the configuration at an offset is read soon.
func (d *Daemon) behind(offset uint64) {
	d.streams.config.Expect(offset)
	d.streams.configPoller.Wake()
}

// changed reads placement records and the engine at once.
func (d *Daemon) changed() {
	d.streams.placementPoller.Wake()
	if d.report != nil {
		d.report.Wake()
	}
}

// Start opens the servers and starts to follow the streams.
func (d *Daemon) Start(context.Context) error {
	if err := d.open(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.effects.Start(ctx)
	for _, l := range d.servers {
		d.running.Go(func() { l.serve(d.serveFailed) })
	}
	d.running.Go(func() { d.control.Run(ctx) })
	for _, p := range d.pollers() {
		d.running.Go(func() { p.Run(ctx) })
	}
	d.running.Go(func() { d.streams.relay.Watcher().Run(ctx) })
	d.streams.start()
	s := d.deps.Settings
	d.ring.Add(timeline.Event{Kind: timeline.ProcessStarted})
	d.deps.Logger.Log(eventlog.ProcessStarted, "control", s.Listen.Control, "admin", s.Listen.Admin)
	return nil
}

func (d *Daemon) open() error {
	s := d.deps.Settings
	agent := &ControlServer{View: d.view, Gate: d.gate, Prefixes: d.prefixes, Chains: d.chains, Clock: d.deps.Clock, Ring: d.ring,
		Send: d.control.Send, Behind: d.behind}
	peer := &PeerServer{View: d.view, Gate: d.gate, Ring: d.ring, Streams: d.streams.served(),
		Watched: d.streams.relay.Server(), ConfigAge: d.streams.configAge, Behind: d.behind}
	handlers := []struct {
		address string
		handler http.Handler
	}{
		{s.Listen.Control, controlHandler(d.exec, agent, peer, d.deps.Metrics)},
		{s.Listen.Admin, adminHandler(d.view, d.deps.Metrics)},
	}
	for _, h := range handlers {
		l, err := listen(h.address, h.handler)
		if err != nil {
			d.closeServers(context.Background())
			return err
		}
		d.servers = append(d.servers, l)
	}
	return nil
}

func (d *Daemon) serveFailed(err error) {
	d.deps.Logger.Log(eventlog.ServeFailed, "error", err)
	d.deps.Failed(err)
}

func (d *Daemon) pollers() []*poller {
	out := d.streams.pollers()
	if d.report != nil {
		out = append(out, d.report)
	}
	load := func(context.Context) { d.deps.Metrics.load(d.gate.Load()) }
	return append(out, newPoller(d.deps.Clock, time.Second, load))
}

// Stop refuses new work, waits until the work in progress is finished or the drain times out, and ends.
func (d *Daemon) Stop(ctx context.Context) error {
	if d.cancel == nil {
		return nil
	}
	d.deps.Logger.Log(eventlog.ProcessDraining)
	d.control.Send(StopRequested{})
	if !d.finish(ctx) {
		d.deps.Logger.Log(eventlog.DrainTimedOut)
	}
	d.closeServers(ctx)
	d.streams.close()
	d.cancel()
	d.running.Wait()
	d.effects.Wait()
	d.ring.Add(timeline.Event{Kind: timeline.ProcessStopped})
	d.deps.Logger.Log(eventlog.ProcessStopped)
	return nil
}

// keysPoll is the time between two looks at whether all outcomes of keys are in the log.
const keysPoll = 20 * time.Millisecond

// keysGrace bounds the wait for outcomes of keys to be recorded once all work is finished. With the log out for longer
// the keys stay unresolved, which is safe.
const keysGrace = 10 * time.Second

// finish waits until all work is finished and the outcomes of its keys are recorded; false if either took too long.
func (d *Daemon) finish(ctx context.Context) bool {
	select {
	case <-d.drained:
	case <-d.deps.Clock.After(d.deps.Settings.Drain.Timeout):
		return false
	case <-ctx.Done():
		return false
	}
	grace := d.deps.Clock.After(keysGrace)
	for !d.streams.keysDrained() {
		select {
		case <-d.deps.Clock.After(keysPoll):
		case <-grace:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// closeGrace bounds the shutdown of the servers once no work is in progress.
const closeGrace = 2 * time.Second

func (d *Daemon) closeServers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, closeGrace)
	defer cancel()
	for _, l := range d.servers {
		_ = l.shutdown(ctx)
	}
}
