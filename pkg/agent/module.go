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
	// stopMargin is the time that a stop may take in addition to the drain timeout.
	stopMargin = keysDrainTimeout + 10*time.Second
	// peerTimeout is the timeout of one call to another agent or an entry host.
	peerTimeout = 2 * time.Second
)

// Module provides an agent with its logger, metrics and HTTP clients.
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
	controlClient := oncehttp.NewClient()
	controlClient.Transport = &meteredTransport{next: controlClient.Transport, metrics: m}
	peerClient := &http.Client{Transport: controlClient.Transport, Timeout: peerTimeout}
	deps := Deps{
		Settings:    s,
		Incarnation: incarnation,
		Seed:        xxhash.Sum64String(incarnation),
		Clock:       clock.System{},
		Log:         httplog.New(s.Platform.LogURL, controlClient),
		Hosts:       httphosts.New(s.Platform.HostsURL, controlClient),
		PeerClient:  peerClient,
		Logger:      logger,
		Metrics:     m,
		ServeFailed: func(error) { _ = shutdown.Shutdown(fx.ExitCode(1)) },
	}
	if s.Backend.Kind == BackendService {
		deps.Service = service.NewClient(s.Backend.URL, nil)
		return deps
	}
	deps.Engine = engine.NewClient(s.Backend.URL, nil)
	return deps
}

// Run starts an agent and returns after a graceful stop, which SIGTERM, SIGINT or the failure of an HTTP server causes.
// After the failure of a server it returns an error.
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
		return failure.New(failure.Internal, failure.Unknown, "an HTTP server of the agent failed")
	}
	return nil
}
