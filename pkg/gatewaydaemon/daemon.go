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
	"trefoilferry.example/ferry/pkg/availability"
	"trefoilferry.example/ferry/pkg/coordinator"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/gateway"
	"trefoilferry.example/ferry/pkg/lease"
)

const (
	// headerTimeout exceeds every configured header timeout. The configuration is not known yet when the listener
	// starts.
	headerTimeout = 10 * time.Second
	// idleTimeout exceeds every configured idle timeout, so that the server never closes a connection while the
	// caller sends its next request on it.
	idleTimeout = 60 * time.Second
	// maxCallerHeaderBytes limits the header of a caller's request.
	maxCallerHeaderBytes = 64 << 10
	// sweepInterval is the interval at which idle connections and the state of removed servers are dropped.
	sweepInterval = time.Second
)

// Daemon runs the listeners and background goroutines of a gateway.
type Daemon struct {
	settings  *Settings
	clients   *Clients
	log       *eventlog.Logger
	control   *gateway.Control
	tracker   *gateway.Tracker
	servers   *availability.Table
	forwarder *gateway.Forwarder
	elector   *lease.Elector
	coord     *coordinator.Coordinator
	reporter  *coordinator.Reporter
	registry  *prometheus.Registry
	shutdown  fx.Shutdowner

	callerServer   *http.Server
	callerListener net.Listener
	// callersServed is closed when callerServer accepts no more connections.
	callersServed   chan struct{}
	callerConns     *callerConns
	internalServers []*http.Server
	draining        atomic.Bool
	cancel          context.CancelFunc
	goroutines      sync.WaitGroup
}

type daemonIn struct {
	fx.In
	Settings  *Settings
	Clients   *Clients
	Log       *eventlog.Logger
	Control   *gateway.Control
	Tracker   *gateway.Tracker
	Servers   *availability.Table
	Forwarder *gateway.Forwarder
	Elector   *lease.Elector
	Coord     *coordinator.Coordinator
	Reporter  *coordinator.Reporter
	Registry  *prometheus.Registry
	Shutdown  fx.Shutdowner
}

func newDaemon(in daemonIn) *Daemon {
	return &Daemon{settings: in.Settings, clients: in.Clients, log: in.Log, control: in.Control, tracker: in.Tracker, servers: in.Servers,
		forwarder: in.Forwarder, elector: in.Elector, coord: in.Coord, reporter: in.Reporter, registry: in.Registry, shutdown: in.Shutdown}
}

// Start starts the background goroutines, which follow the store, and listens on all addresses.
func (d *Daemon) Start(context.Context) error {
	background, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.goroutines.Go(func() { d.control.Follow(background, d.clients.Config, d.clients.Servers) })
	d.goroutines.Go(func() { d.elector.Run(background) })
	d.goroutines.Go(func() { d.coord.Run(background) })
	d.goroutines.Go(func() { d.reporter.Run(background) })
	d.goroutines.Go(func() { d.runSweeper(background) })

	d.callerConns, d.callersServed = newCallerConns(), make(chan struct{})
	d.callerServer = &http.Server{Handler: d.forwarder, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxCallerHeaderBytes,
		ConnContext: gateway.WithCallerConn, ConnState: d.recordCallerConn}
	ready := mux.NewRouter()
	ready.PathPrefix("/").HandlerFunc(d.serveReadiness).Methods(http.MethodGet)
	peers := mux.NewRouter()
	peers.PathPrefix(ferrypb.CoordinatorPathPrefix).Handler(ferrypb.NewCoordinatorServer(d.coord))
	metrics := mux.NewRouter()
	metrics.Handle("/metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	for _, l := range []struct {
		address string
		server  *http.Server
	}{
		{d.settings.CallerAddr, d.callerServer},
		{d.settings.ReadyAddr, &http.Server{Handler: ready, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}},
		{d.settings.PeerAddr, &http.Server{Handler: peers, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}},
		{d.settings.MetricsAddr, &http.Server{Handler: metrics, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}},
	} {
		if err := d.serve(l.server, l.address); err != nil {
			cancel()
			return err
		}
	}
	d.log.Log(eventlog.ProcessStarted, "callers", d.settings.CallerAddr, "peers", d.settings.PeerAddr, "region", d.settings.Region)
	return nil
}

func (d *Daemon) serve(server *http.Server, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return failure.Wrap(failure.SettingsInvalid, failure.NotRun, "cannot listen on "+address, err)
	}
	if server == d.callerServer {
		d.callerListener = listener
	} else {
		d.internalServers = append(d.internalServers, server)
	}
	go func() {
		err := server.Serve(listener)
		if server == d.callerServer {
			close(d.callersServed)
		}
		// A stop closes the listener for callers before its server.
		if err != nil && err != http.ErrServerClosed && !d.draining.Load() {
			d.log.Log(eventlog.ServeFailed, "address", address, "reason", err)
			// An error means that the shutdown is already in progress.
			_ = d.shutdown.Shutdown(fx.ExitCode(1))
		}
	}()
	return nil
}

// recordCallerConn records a change of the state of a caller's connection. The deadline of the last write of a response does
// not hold for the next one.
func (d *Daemon) recordCallerConn(c net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		// A closed connection fails at its next use.
		_ = c.SetWriteDeadline(time.Time{})
	}
	d.callerConns.record(c, state)
}

func (d *Daemon) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if d.draining.Load() || !d.control.View().Ready() || d.control.KeysTooOld() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (d *Daemon) runSweeper(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	readyLogged := false
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.clients.Pool.CloseExpired(now)
			view := d.control.View()
			if view.Ready() && !readyLogged {
				readyLogged = true
				d.log.Log(eventlog.ProcessReady, "version", view.Config.Version, "servers", len(view.Servers))
			}
			d.tracker.Retain(view.Servers)
			d.servers.Retain(view.StartTimes(), now)
		}
	}
}

// Stop finishes the requests in progress and stops the daemon. It ends readiness first, so that the balancer sends
// new connections elsewhere.
func (d *Daemon) Stop(ctx context.Context) error {
	schedule := newStopSchedule(d.settings.StopGrace)
	plan := schedule.plan(time.Now())
	d.draining.Store(true)
	d.forwarder.StartDraining(plan)
	d.log.Log(eventlog.ProcessDraining, "grace", d.settings.StopGrace)
	time.Sleep(schedule.accept)
	finishing, cancel := context.WithDeadline(ctx, plan.End)
	defer cancel()
	d.drain(finishing)
	// The lease is held until requests have finished, so that models are still loaded and unloaded while the store is
	// unavailable.
	releasing, cancelRelease := context.WithTimeout(ctx, releaseTimeout)
	defer cancelRelease()
	d.elector.Release(releasing)
	d.cancel()
	for _, s := range d.internalServers {
		// Peers retry open calls elsewhere.
		_ = s.Close()
	}
	// Only requests that did not end within the grace still have a connection.
	_ = d.callerServer.Close()
	d.goroutines.Wait()
	d.log.Log(eventlog.ProcessStopped)
	return nil
}
