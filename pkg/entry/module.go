package entry

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra"
	"trefoilferry.example/ferry/pkg/infra/httphosts"
	"trefoilferry.example/ferry/pkg/infra/httplog"
	"trefoilferry.example/ferry/pkg/oncehttp"
	"trefoilferry.example/ferry/pkg/routing"
	"trefoilferry.example/ferry/pkg/timeline"
)

// stopMargin is added to the drain times for fx's stop timeout, so that a regular shutdown is never interrupted by it.
const stopMargin = 10 * time.Second

// Incarnation is the unique id of this process; a restarted daemon has a new one.
type Incarnation string

// controlClient is the HTTP client for control calls to other processes. It is a type of its own for dependency
// injection.
type controlClient *http.Client

// NewApp returns the daemon as an fx application that logs to w. Callers must check its Err before they run it.
func NewApp(settings *Settings, w io.Writer, extra ...fx.Option) *fx.App {
	return fx.New(append([]fx.Option{
		fx.NopLogger,
		fx.Supply(settings),
		fx.Provide(func() io.Writer { return w }),
		fx.StopTimeout(settings.Drain.Grace + settings.Drain.Timeout + stopMargin),
		Module,
	}, extra...)...)
}

// Module provides the components of the daemon.
var Module = fx.Module("entry",
	fx.Provide(
		func() clock.Clock { return clock.System{} },
		func() Incarnation { return Incarnation(uuid.NewString()) },
		newLogger,
		newRing,
		prometheus.NewRegistry,
		func(r *prometheus.Registry) *Metrics { return NewMetrics(r) },
		NewSnapshots,
		NewControlLoop,
		newControlClient,
		func(s *Settings) infra.Log { return httplog.New(s.Platform.LogURL, nil) },
		func(s *Settings) infra.HostList { return httphosts.New(s.Platform.HostsURL, nil) },
		newSources,
		newDispatcherConfig,
		NewDispatcher,
		NewServer,
		newPeer,
		newDaemon,
	),
	fx.Invoke(func(lifecycle fx.Lifecycle, d *Daemon) {
		lifecycle.Append(fx.Hook{OnStart: d.Start, OnStop: d.Stop})
	}),
)

func newLogger(s *Settings, w io.Writer) (*eventlog.Logger, error) {
	level, err := log.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, failure.Wrap(failure.SettingsInvalid, failure.NotRun, "log level is unknown", err)
	}
	return eventlog.NewLogger(w, eventlog.Format(s.Log.Format), level, s.Host.Name), nil
}

func newRing(s *Settings, i Incarnation, c clock.Clock) *timeline.Ring {
	return timeline.NewRing(s.Host.Name, string(i), timeline.DefaultCapacity, c.Now)
}

func newControlClient(s *Settings, m *Metrics) controlClient {
	dialer := &net.Dialer{Timeout: s.Limits.ConnectTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         m.countedDial(dialer.DialContext),
		MaxIdleConnsPerHost: maxIdlePerAgent,
		IdleConnTimeout:     s.Limits.IdleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: oncehttp.MaxHeaderBytes,
	}}
}

type sourcesIn struct {
	fx.In
	Settings    *Settings
	Incarnation Incarnation
	Snapshots   *Snapshots
	Loop        *ControlLoop
	Log         infra.Log
	Hosts       infra.HostList
	Client      controlClient
	Clock       clock.Clock
	Ring        *timeline.Ring
	Events      *eventlog.Logger
}

func newSources(in sourcesIn) *Sources {
	return NewSources(SourcesConfig{
		Settings:      in.Settings,
		Incarnation:   string(in.Incarnation),
		Snapshots:     in.Snapshots,
		Loop:          in.Loop,
		Log:           in.Log,
		Hosts:         in.Hosts,
		ControlClient: in.Client,
		Clock:         in.Clock,
		Ring:          in.Ring,
		Events:        in.Events,
		Seed:          seedOf(in.Incarnation),
	})
}

// seedOf returns a random seed that differs between processes, so that hosts that start together make different choices.
func seedOf(i Incarnation) uint64 { return xxhash.Sum64String(string(i)) }

type dispatcherIn struct {
	fx.In
	Settings    *Settings
	Incarnation Incarnation
	Snapshots   *Snapshots
	Loop        *ControlLoop
	Client      controlClient
	Clock       clock.Clock
	Ring        *timeline.Ring
	Log         *eventlog.Logger
	Metrics     *Metrics
}

func newDispatcherConfig(in dispatcherIn) (DispatcherConfig, error) {
	policy, err := routing.NewPolicy(in.Settings.Routing.Policy, in.Settings.Routing.costs())
	if err != nil {
		return DispatcherConfig{}, err
	}
	return DispatcherConfig{
		Settings:    in.Settings,
		Incarnation: string(in.Incarnation),
		Snapshots:   in.Snapshots,
		Policy:      policy,
		Executor:    NewExecutor(in.Settings.Limits.ConnectTimeout, in.Settings.Limits.IdleTimeout),
		Agents:      NewTwirpAgentClient(in.Client),
		Reporter:    in.Loop,
		Clock:       in.Clock,
		Ring:        in.Ring,
		Log:         in.Log,
		Metrics:     in.Metrics,
		Seed:        seedOf(in.Incarnation),
	}, nil
}

func newPeer(p DispatcherConfig, sources *Sources) *Peer {
	return &Peer{
		settings:    p.Settings,
		incarnation: p.Incarnation,
		snapshots:   p.Snapshots,
		followers:   sources.followers,
		watchServer: sources.relay.Server(),
		reporter:    p.Reporter,
		ring:        p.Ring,
		clock:       p.Clock,
	}
}

func newDaemon(p DispatcherConfig, loop *ControlLoop, sources *Sources, server *Server, peer *Peer, registry *prometheus.Registry, shutdown fx.Shutdowner) *Daemon {
	limits := p.Settings.Limits
	return &Daemon{
		settings:     p.Settings,
		loop:         loop,
		sources:      sources,
		executor:     p.Executor,
		clock:        p.Clock,
		ring:         p.Ring,
		log:          p.Log,
		metrics:      p.Metrics,
		callers:      server.httpServer(),
		control:      &http.Server{Handler: ferrypb.NewPeerServer(peer), ReadHeaderTimeout: limits.HeaderTimeout},
		admin:        &http.Server{Handler: adminHandler(p.Snapshots, registry), ReadHeaderTimeout: limits.HeaderTimeout},
		onServeError: func(error) { _ = shutdown.Shutdown(fx.ExitCode(1)) },
	}
}
