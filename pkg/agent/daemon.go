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

// Deps are the dependencies of an agent.
type Deps struct {
	Settings    *Settings
	Incarnation string
	// Seed randomizes the times of checkpoints, so that agents do not write them at the same time.
	Seed  uint64
	Clock clock.Clock
	Log   infra.Log
	Hosts infra.HostList
	// Engine is nil for a service runner.
	Engine engine.Engine
	// Service is nil for a model engine.
	Service ServiceClient
	// PeerClient is the HTTP client for calls to other agents and entry hosts.
	PeerClient *http.Client
	Logger     *eventlog.Logger
	Metrics    *Metrics
	// ServeFailed is called when an HTTP server fails; nil does nothing.
	ServeFailed func(error)
}

// Daemon is one running agent.
type Daemon struct {
	deps        Deps
	ring        *timeline.Ring
	view        *atomic.Pointer[View]
	requests    *RequestTracker
	admission   *AdmissionQueue
	prefixes    *PrefixIndex
	chains      *PromptChains
	adapterPins *AdapterPins
	control     *Control
	effects     *Effects
	streams     *streams
	// reportPoller reads the engine's report; nil for a service runner.
	reportPoller *poller
	exec         *ExecServer

	servers []*listener
	cancel  context.CancelFunc
	running sync.WaitGroup
	drained chan struct{}
}

// New returns an agent that is not started yet.
func New(deps Deps) *Daemon {
	s := deps.Settings
	if deps.ServeFailed == nil {
		deps.ServeFailed = func(error) {}
	}
	d := &Daemon{
		deps:      deps,
		ring:      timeline.NewRing(s.Host.Name, deps.Incarnation, timeline.DefaultCapacity, deps.Clock.Now),
		view:      &atomic.Pointer[View]{},
		requests:  NewRequestTracker(),
		admission: NewAdmissionQueue(queueConfig(s), deps.Clock),
		prefixes:  NewPrefixIndex(s.Queue.PrefixIndex),
		chains:    NewPromptChains(chainBlocksPerPrefix * s.Queue.PrefixIndex),
		drained:   make(chan struct{}),
	}
	id := identityOf(s, deps.Incarnation)
	d.view.Store(startingView(id))
	d.adapterPins = NewAdapterPins(func(e Event) { d.control.Send(e) })
	d.effects = d.newEffects()
	d.control = NewControl(NewCore(id, limitsOf(s), plannerOf(s)), deps.Clock, d.requests, d.effects.Do)
	d.streams = newStreams(d)
	d.exec = d.newExecServer()
	if deps.Engine != nil {
		source := &engineSource{engine: deps.Engine, prefixes: d.prefixes, send: d.control.Send}
		d.reportPoller = newPoller(deps.Clock, s.Backend.ReportInterval, source.poll)
	}
	return d
}

// startingView returns the view until the core publishes its first one; it refuses all requests.
func startingView(id Identity) *View {
	return &View{Identity: id, ServingIncarnation: id.Incarnation, Refusal: failure.New(failure.NotReady, failure.NotRun, "agent is starting")}
}

func queueConfig(s *Settings) queue.Config {
	return queue.Config{
		MaxQueued:        s.Queue.MaxQueued,
		DefaultTarget:    s.Queue.DefaultFirstToken,
		PriorityStep:     s.Queue.PriorityStep,
		MaxPriority:      s.Queue.MaxPriority,
		LongPrefillTime:  s.Queue.LongPrefill,
		LongPrefillShare: s.Queue.LongShare,
		LatePrefillShare: s.Queue.LateShare,
	}
}

func (d *Daemon) newEffects() *Effects {
	return &Effects{
		Send:              func(e Event) { d.control.Send(e) },
		View:              d.view,
		Requests:          d.requests,
		Admission:         d.admission,
		Adapters:          d.adapterPins,
		Engine:            d.deps.Engine,
		Writer:            newWriter(d, placementStream, ""),
		Pinger:            &twirpPinger{client: d.deps.PeerClient, ring: d.ring, configOffset: d.configOffset},
		Clock:             d.deps.Clock,
		Logger:            d.deps.Logger,
		Ring:              d.ring,
		Metrics:           d.deps.Metrics,
		OrderTimeout:      d.deps.Settings.Backend.OrderTimeout,
		Refresh:           d.refreshState,
		SetServiceRunners: func(n int) { d.streams.setRunners(n) },
		Drained:           func() { close(d.drained) },
	}
}

func (d *Daemon) newExecServer() *ExecServer {
	s := d.deps.Settings
	return &ExecServer{
		View:            d.view,
		Requests:        d.requests,
		Admission:       d.admission,
		Prefixes:        d.prefixes,
		Chains:          d.chains,
		Adapters:        d.adapterPins,
		Engine:          d.deps.Engine,
		Service:         d.deps.Service,
		Keys:            d.streams.keys,
		CallSlots:       make(chan struct{}, s.Backend.MaxCalls),
		Clock:           d.deps.Clock,
		Ring:            d.ring,
		Logger:          d.deps.Logger,
		Metrics:         d.deps.Metrics,
		RefreshConfig:   d.refreshConfig,
		MaxBodyBytes:    int64(s.Listen.MaxBodyBytes),
		MaxKeyBodyBytes: int64(s.Keys.BodyBytes),
	}
}

func (d *Daemon) configOffset() uint64 { return d.view.Load().ConfigOffset() }

// refreshConfig reads the config stream at once, because another process is known to have read it up to offset.
func (d *Daemon) refreshConfig(offset uint64) {
	d.streams.config.Expect(offset)
	d.streams.configPoller.Wake()
}

// refreshState reads the placement stream and the engine's report at once.
func (d *Daemon) refreshState() {
	d.streams.placementPoller.Wake()
	if d.reportPoller != nil {
		d.reportPoller.Wake()
	}
}

// Start opens the listeners, then starts the servers, the core and the reading of the log streams. It fails if an address
// cannot be opened.
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
	agent := &ControlServer{View: d.view, Admission: d.admission, Prefixes: d.prefixes, Chains: d.chains, Clock: d.deps.Clock, Ring: d.ring,
		Send: d.control.Send, RefreshConfig: d.refreshConfig}
	peer := &PeerServer{View: d.view, Admission: d.admission, Ring: d.ring, Streams: d.streams.streamsByName(),
		WatchServer: d.streams.relay.Server(), ConfigAge: d.streams.configAge, RefreshConfig: d.refreshConfig}
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
	d.deps.ServeFailed(err)
}

func (d *Daemon) pollers() []*poller {
	out := d.streams.pollers()
	if d.reportPoller != nil {
		out = append(out, d.reportPoller)
	}
	load := func(context.Context) { d.deps.Metrics.setLoad(d.admission.Load()) }
	return append(out, newPoller(d.deps.Clock, time.Second, load))
}

// Stop refuses new requests, waits until the requests in progress have finished or the drain times out, and shuts the
// agent down.
func (d *Daemon) Stop(ctx context.Context) error {
	if d.cancel == nil {
		return nil
	}
	d.deps.Logger.Log(eventlog.ProcessDraining)
	d.control.Send(StopRequested{})
	if !d.drain(ctx) {
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

// keysPollInterval is the time between two checks whether the outcomes of all idempotency keys are in the log.
const keysPollInterval = 20 * time.Millisecond

// keysDrainTimeout bounds the wait for the outcomes of idempotency keys to be recorded after the last request has
// finished. If the log is out for longer, the keys stay unresolved, which is safe.
const keysDrainTimeout = 10 * time.Second

// drain waits until all requests have finished and the outcomes of their idempotency keys are in the log. It returns
// false if either took too long or ctx is done.
func (d *Daemon) drain(ctx context.Context) bool {
	select {
	case <-d.drained:
	case <-d.deps.Clock.After(d.deps.Settings.Drain.Timeout):
		return false
	case <-ctx.Done():
		return false
	}
	timeout := d.deps.Clock.After(keysDrainTimeout)
	for !d.streams.keysDrained() {
		select {
		case <-d.deps.Clock.After(keysPollInterval):
		case <-timeout:
			return false
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// shutdownTimeout bounds the shutdown of the HTTP servers after the drain.
const shutdownTimeout = 2 * time.Second

func (d *Daemon) closeServers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	for _, l := range d.servers {
		_ = l.shutdown(ctx)
	}
}
