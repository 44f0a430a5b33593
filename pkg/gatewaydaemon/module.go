package gatewaydaemon

import (
	"io"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"

	"trefoilferry.example/ferry/pkg/allowance"
	"trefoilferry.example/ferry/pkg/availability"
	"trefoilferry.example/ferry/pkg/coordinator"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/gateway"
	"trefoilferry.example/ferry/pkg/lease"
	"trefoilferry.example/ferry/pkg/quarantine"
	"trefoilferry.example/ferry/pkg/serverlimit"
)

// NewApp returns the daemon as an fx application that logs to w. Check the application's Err before running it.
func NewApp(settings *Settings, clients *Clients, w io.Writer) *fx.App {
	return fx.New(
		fx.NopLogger,
		fx.Supply(settings, clients),
		fx.StopTimeout(settings.StopGrace),
		fx.Provide(
			func() *eventlog.Logger {
				return eventlog.NewLogger(w, eventlog.FormatText, log.InfoLevel, settings.Host)
			},
			prometheus.NewRegistry,
			newMetrics,
			func() *serverlimit.Table { return serverlimit.NewTable(rand.Float64) },
			allowance.NewTable,
			gateway.NewAvailability,
			func(l *eventlog.Logger, allowances *allowance.Table) *gateway.Control {
				timing := gateway.NewPollTiming(settings.MaxChangeDelay)
				timing.RevokeBound, timing.Quotas = settings.RevokeBound, settings.Quotas
				control := gateway.NewControl(l, timing)
				control.ShareAllowances(allowances)
				return control
			},
			gateway.NewTracker,
			gateway.NewDemand,
			quarantine.NewBoard,
			newCoordinatorRef,
			newElector,
			newCoordinator,
			newReporter,
			newForwarder,
			newDaemon,
		),
		fx.Invoke(watchRecords, watchConnections, watchAllowances, func(lifecycle fx.Lifecycle, d *Daemon) {
			lifecycle.Append(fx.Hook{OnStart: d.Start, OnStop: d.Stop})
		}),
	)
}

func newMetrics(r *prometheus.Registry, limits *serverlimit.Table, servers *availability.Table, t *gateway.Tracker) *gateway.Metrics {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "ferry_gateway_leaving_servers", Help: "Servers that said in a response that they leave."},
		func() float64 { leaving, _ := servers.Count(time.Now()); return float64(leaving) }))
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "ferry_gateway_paused_servers", Help: "Servers that refused a request and want none for a while."},
		func() float64 { _, paused := servers.Count(time.Now()); return float64(paused) }))
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "ferry_gateway_limited_servers", Help: "Servers that name a limit of requests per second."},
		func() float64 { return float64(limits.Limited(time.Now())) }))
	m := gateway.NewMetrics(r)
	m.WatchSpeeds(r, t)
	return m
}

// watchConnections registers the metrics of the connections to backend servers.
func watchConnections(r *prometheus.Registry, clients *Clients) {
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "ferry_gateway_server_connections_total", Help: "Connections opened to backend servers."},
		func() float64 { return float64(clients.Pool.TotalOpened()) }))
	r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "ferry_gateway_skipped_responses_total", Help: "Responses of backend servers that did not belong to the request that waited for one."},
		func() float64 { return float64(clients.Pool.TotalSkipped()) }))
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "ferry_gateway_received_bytes_held", Help: "Bytes of requests and of responses of backend servers that are held beyond the allowance of each."},
		func() float64 { return float64(clients.Pool.Budget().Used()) }))
}

// watchAllowances registers the metrics of the quotas of workspaces.
func watchAllowances(r *prometheus.Registry, allowances *allowance.Table) {
	r.MustRegister(newAllowanceCollector(allowances))
}

func newElector(s *Settings, clients *Clients, ref *coordinatorRef, l *eventlog.Logger) *lease.Elector {
	timing := lease.NewTiming(s.HolderGap)
	if s.FencingEnforced {
		timing = lease.NewFencedTiming()
	}
	return lease.NewElector(clients.Lease, l, s.Host, s.PeerAddr, s.Cores, timing, ref)
}

func newCoordinator(s *Settings, clients *Clients, control *gateway.Control, elector *lease.Elector, board *quarantine.Board, servers *availability.Table, ref *coordinatorRef, l *eventlog.Logger) *coordinator.Coordinator {
	config := coordinator.Config{Holder: s.Host, RegionOf: s.RegionOf, LoadLimits: s.Loads, Board: board, Availability: servers, Quotas: s.Quotas}
	c := coordinator.New(config, control, elector, clients.Runners, l)
	ref.StateHandover = c
	return c
}

// coordinatorRef passes the coordinator to the lease elector although the elector is created first: the elector saves
// and restores the coordinator's state, and the coordinator needs the elector's fencing token.
type coordinatorRef struct{ lease.StateHandover }

func newCoordinatorRef() *coordinatorRef { return &coordinatorRef{} }

func newReporter(s *Settings, elector *lease.Elector, c *coordinator.Coordinator, control *gateway.Control, d *gateway.Demand, t *gateway.Tracker, board *quarantine.Board, limits *serverlimit.Table, servers *availability.Table, allowances *allowance.Table, l *eventlog.Logger) *coordinator.Reporter {
	return coordinator.NewReporter(s.Host, elector, c, control, d, t, board, limits, servers, allowances, l)
}

func newForwarder(s *Settings, clients *Clients, control *gateway.Control, d *gateway.Demand, t *gateway.Tracker, board *quarantine.Board, limits *serverlimit.Table, servers *availability.Table, allowances *allowance.Table, m *gateway.Metrics, l *eventlog.Logger) *gateway.Forwarder {
	return gateway.NewForwarder(gateway.ForwarderConfig{
		Control: control, Pool: clients.Pool, Tracker: t, Demand: d, Board: board, Limits: limits, Availability: servers, Allowances: allowances, Codec: clients.Codec, Log: l, Metrics: m,
		Region: s.Region, RegionOf: s.RegionOf, Budget: s.Budget,
	})
}
