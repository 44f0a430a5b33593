package agent

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"go.uber.org/fx"

	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/engine"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/infra/httphosts"
	"trefoilferry.example/ferry/pkg/infra/httplog"
	"trefoilferry.example/ferry/pkg/oncehttp"
	"trefoilferry.example/ferry/pkg/service"
)

const (
	// stopMargin is what a stop may take beyond the drain.
	stopMargin = keysGrace + 10*time.Second
	// peerTimeout bounds one call to another process of the system.
	peerTimeout = 2 * time.Second
)

// Module wires an agent with its HTTP clients.
func Module(s *Settings) fx.Option {
	return fx.Options(
		fx.Supply(s),
		fx.Provide(newLogger, NewMetrics, newDeps, New),
		fx.Invoke(register),
		fx.StopTimeout(s.Drain.Timeout+stopMargin),
		fx.NopLogger,
	)
}

func register(lifecycle fx.Lifecycle, d *Daemon) {
	lifecycle.Append(fx.Hook{OnStart: d.Start, OnStop: d.Stop})
}

func newLogger(s *Settings) (*eventlog.Logger, error) {
	level, err := log.ParseLevel(s.Log.Level)
	if err != nil {
		return nil, failure.Wrap(failure.SettingsInvalid, failure.NotRun, "log level is unknown", err)
	}
	return eventlog.NewLogger(os.Stderr, eventlog.Format(s.Log.Format), level, s.Host.Name), nil
}

func newDeps(s *Settings, logger *eventlog.Logger, m *Metrics, shutdown fx.Shutdowner) Deps {
	incarnation := uuid.NewString()
	control := oncehttp.NewClient()
	control.Transport = &meteredTransport{next: control.Transport, metrics: m}
	peers := &http.Client{Transport: control.Transport, Timeout: peerTimeout}
	deps := Deps{
		Settings:    s,
		Incarnation: incarnation,
		Seed:        xxhash.Sum64String(incarnation),
		Clock:       clock.System{},
		Log:         httplog.New(s.Platform.LogURL, control),
		Hosts:       httphosts.New(s.Platform.HostsURL, control),
		Client:      peers,
		Logger:      logger,
		Metrics:     m,
		Failed:      func(error) { _ = shutdown.Shutdown(fx.ExitCode(1)) },
	}
	if s.Backend.Kind == BackendService {
		deps.Service = service.NewClient(s.Backend.URL, nil)
		return deps
	}
	deps.Engine = engine.NewClient(s.Backend.URL, nil)
	return deps
}

// Run starts an agent and returns after a graceful stop by SIGTERM or SIGINT.
func Run(ctx context.Context, s *Settings) error {
	app := fx.New(Module(s))
	if err := app.Start(ctx); err != nil {
		return err
	}
	signal := <-app.Wait()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), app.StopTimeout())
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		return err
	}
	if signal.ExitCode != 0 {
		return failure.New(failure.Internal, failure.Unknown, "a server ended by itself")
	}
	return nil
}
