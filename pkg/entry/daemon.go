package entry

import (
	"context"
	"net"
	"net/http"
	"sync"

	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/failure"
	"trefoilferry.example/ferry/pkg/timeline"
)

// Daemon runs the HTTP servers and background goroutines of an entry host.
type Daemon struct {
	settings *Settings
	loop     *ControlLoop
	sources  *Sources
	executor *Executor
	clock    clock.Clock
	ring     *timeline.Ring
	log      *eventlog.Logger
	metrics  *Metrics
	callers  *http.Server
	control  *http.Server
	admin    *http.Server
	// onServeError is called when an HTTP server stops with an error.
	onServeError func(error)

	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Start opens all listeners and starts to follow the log. It fails with code SettingsInvalid if a listener cannot be
// opened.
func (d *Daemon) Start(ctx context.Context) error {
	listeners, err := listen(ctx, d.settings.Listen.Callers, d.settings.Listen.Control, d.settings.Listen.Admin)
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d.cancel = cancel
	d.goroutines.Go(func() { d.loop.Run(background) })
	for _, p := range d.sources.pollers {
		d.goroutines.Go(func() { p.run(background) })
	}
	d.goroutines.Go(func() { d.sources.relay.Watcher().Run(background) })
	d.goroutines.Go(func() { d.forwardOffsets(background) })
	d.serve(d.callers, listeners[0])
	d.serve(d.control, countedListener{Listener: listeners[1], metrics: d.metrics})
	d.serve(d.admin, listeners[2])
	d.ring.Add(timeline.Event{Kind: timeline.ProcessStarted})
	d.log.Log(eventlog.ProcessStarted, "callers", listeners[0].Addr(), "control", listeners[1].Addr(), "admin", listeners[2].Addr())
	return nil
}

// forwardOffsets passes newer configuration offsets of other processes to the sources until ctx is done.
func (d *Daemon) forwardOffsets(ctx context.Context) {
	for {
		select {
		case offset := <-d.loop.NewerOffsets():
			d.sources.expectConfig(offset)
		case <-ctx.Done():
			return
		}
	}
}

// listen opens a TCP listener for each address. If one fails, it closes the others.
func listen(ctx context.Context, addresses ...string) ([]net.Listener, error) {
	var out []net.Listener
	var config net.ListenConfig
	for _, address := range addresses {
		l, err := config.Listen(ctx, "tcp", address)
		if err != nil {
			for _, open := range out {
				_ = open.Close()
			}
			return nil, failure.Wrap(failure.SettingsInvalid, failure.NotRun, "cannot listen on "+address, err)
		}
		out = append(out, l)
	}
	return out, nil
}

func (d *Daemon) serve(server *http.Server, l net.Listener) {
	d.goroutines.Go(func() {
		err := server.Serve(l)
		if err == http.ErrServerClosed {
			return
		}
		d.log.Log(eventlog.ServeFailed, "address", l.Addr(), "error", err)
		d.onServeError(err)
	})
}

// Stop shuts the daemon down gracefully: it reports not ready and accepts new requests for Drain.Grace, then waits up
// to Drain.Timeout for requests in progress.
func (d *Daemon) Stop(ctx context.Context) error {
	d.loop.Send(ctx, DrainStarted{})
	d.ring.Add(timeline.Event{Kind: timeline.ProcessDraining})
	d.log.Log(eventlog.ProcessDraining, "grace", d.settings.Drain.Grace)
	select {
	case <-d.clock.After(d.settings.Drain.Grace):
	case <-ctx.Done():
	}
	d.shutdownCallers(ctx)
	d.cancel()
	_ = d.control.Close()
	_ = d.admin.Close()
	d.executor.CloseIdle()
	d.goroutines.Wait()
	d.ring.Add(timeline.Event{Kind: timeline.ProcessStopped})
	d.log.Log(eventlog.ProcessStopped)
	return nil
}

func (d *Daemon) shutdownCallers(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, d.settings.Drain.Timeout)
	defer cancel()
	if err := d.callers.Shutdown(bounded); err != nil {
		d.log.Log(eventlog.DrainTimedOut, "error", err)
		_ = d.callers.Close()
	}
}
