package gatewaydaemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/fx"

	"trefoilferry.example/ferry/api/ferrypb"
	"trefoilferry.example/ferry/pkg/coordinator"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/gateway"
	"trefoilferry.example/ferry/pkg/lease"
)

const (
	// headerTimeout is longer than any configured one, which is unknown when the listener starts.
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than any configured one, so that a close never crosses a caller's next request.
	idleTimeout = 60 * time.Second
	// callerHeaderBytes bounds the header of a request.
	callerHeaderBytes = 64 << 10
	// sweepPeriod is how often idle connections and forgotten servers are dropped.
	sweepPeriod = time.Second
	// rotationTime is how long the platform's balancer may still send new connections after readiness ended.
	rotationTime = 2500 * time.Millisecond
	// stopMargin is left of the stop time when open requests are cut.
	stopMargin = 900 * time.Millisecond
	// releaseTimeout bounds the release of the lease.
	releaseTimeout = 400 * time.Millisecond
)

// Daemon runs the listeners and goroutines of a gateway.
type Daemon struct {
	settings  *Settings
	ports     *Ports
	log       *eventlog.Logger
	control   *gateway.Control
	tracker   *gateway.Tracker
	forwarder *gateway.Forwarder
	keeper    *lease.Keeper
	coord     *coordinator.Coordinator
	reporter  *coordinator.Reporter
	registry  *prometheus.Registry
	shutdown  fx.Shutdowner

	callers  *http.Server
	others   []*http.Server
	draining atomic.Bool
	cancel   context.CancelFunc
	work     sync.WaitGroup
}

type daemonIn struct {
	fx.In
	Settings  *Settings
	Ports     *Ports
	Log       *eventlog.Logger
	Control   *gateway.Control
	Tracker   *gateway.Tracker
	Forwarder *gateway.Forwarder
	Keeper    *lease.Keeper
	Coord     *coordinator.Coordinator
	Reporter  *coordinator.Reporter
	Registry  *prometheus.Registry
	Shutdown  fx.Shutdowner
}

func newDaemon(in daemonIn) *Daemon {
	return &Daemon{settings: in.Settings, ports: in.Ports, log: in.Log, control: in.Control, tracker: in.Tracker,
		forwarder: in.Forwarder, keeper: in.Keeper, coord: in.Coord, reporter: in.Reporter, registry: in.Registry, shutdown: in.Shutdown}
}

// Start listens on all addresses and begins to follow the store.
func (d *Daemon) Start(context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.work.Go(func() { d.control.Follow(background, d.ports.Config, d.ports.Servers) })
	d.work.Go(func() { d.keeper.Run(background) })
	d.work.Go(func() { d.coord.Run(background) })
	d.work.Go(func() { d.reporter.Run(background) })
	d.work.Go(func() { d.sweep(background) })

	d.callers = &http.Server{Handler: d.forwarder, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: callerHeaderBytes}
	ready := mux.NewRouter()
	ready.PathPrefix("/").HandlerFunc(d.ready).Methods(http.MethodGet)
	peers := mux.NewRouter()
	peers.PathPrefix(ferrypb.CoordinatorPathPrefix).Handler(ferrypb.NewCoordinatorServer(d.coord))
	metrics := mux.NewRouter()
	metrics.Handle("/metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	for _, l := range []struct {
		address string
		server  *http.Server
	}{
		{d.settings.Callers, d.callers},
		{d.settings.Ready, &http.Server{Handler: ready, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}},
		{d.settings.Peers, &http.Server{Handler: peers, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}},
		{d.settings.Metrics, &http.Server{Handler: metrics, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}},
	} {
		if err := d.serve(l.server, l.address); err != nil {
			cancel()
			return err
		}
	}
	d.log.Log(eventlog.ProcessStarted, "callers", d.settings.Callers, "peers", d.settings.Peers, "region", d.settings.Region)
	return nil
}

func (d *Daemon) serve(server *http.Server, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return failure.Wrap(failure.SettingsInvalid, failure.NotRun, "cannot listen on "+address, err)
	}
	if server != d.callers {
		d.others = append(d.others, server)
	}
	go func() {
		if err := server.Serve(listener); err != nil && err != http.ErrServerClosed {
			d.log.Log(eventlog.ServeFailed, "address", address, "reason", err)
			// A shutdown that is already under way needs no second one.
			_ = d.shutdown.Shutdown(fx.ExitCode(1))
		}
	}()
	return nil
}

func (d *Daemon) ready(w http.ResponseWriter, _ *http.Request) {
	if d.draining.Load() || !d.control.View().Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (d *Daemon) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	announced := false
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.ports.Pool.Sweep(now)
			view := d.control.View()
			if view.Ready() && !announced {
				announced = true
				d.log.Log(eventlog.ProcessReady, "version", view.Config.Version, "servers", len(view.Servers))
			}
			d.tracker.Retain(func(server string) bool { _, ok := view.Servers[server]; return ok })
		}
	}
}

// Stop finishes the requests in progress. Readiness ends first, so that the balancer sends new connections elsewhere.
func (d *Daemon) Stop(ctx context.Context) error {
	end := time.Now().Add(d.settings.StopGrace - stopMargin)
	d.draining.Store(true)
	d.forwarder.Drain()
	d.log.Log(eventlog.ProcessDraining, "grace", d.settings.StopGrace)
	time.Sleep(rotationTime)
	finishing, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	if err := d.callers.Shutdown(finishing); err != nil {
		d.log.Log(eventlog.DrainTimedOut, "reason", err)
	}
	// The lease is kept until now, so that models are placed also while the store is down.
	releasing, cancelRelease := context.WithTimeout(ctx, releaseTimeout)
	defer cancelRelease()
	d.keeper.Release(releasing)
	d.cancel()
	for _, s := range d.others {
		// Open calls of peers are repeated elsewhere.
		_ = s.Close()
	}
	d.work.Wait()
	d.log.Log(eventlog.ProcessStopped)
	return nil
}
