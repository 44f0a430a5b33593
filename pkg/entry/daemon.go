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

// Daemon runs the listeners and goroutines of an entry host.
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
	// failed is called when a listener stops with an error.
	failed func(error)

	cancel context.CancelFunc
	work   sync.WaitGroup
}

// Start listens on all addresses and begins to follow the log.
// A listener that cannot be opened fails with code SettingsInvalid.
func (d *Daemon) Start(ctx context.Context) error {
	listeners, err := listen(ctx, d.settings.Listen.Callers, d.settings.Listen.Control, d.settings.Listen.Admin)
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	d.cancel = cancel
	d.work.Go(func() { d.loop.Run(background) })
	for _, p := range d.sources.pollers {
		d.work.Go(func() { p.run(background) })
	}
	d.work.Go(func() { d.sources.relay.Watcher().Run(background) })
	d.work.Go(func() { d.expect(background) })
	d.serve(d.callers, listeners[0])
	d.serve(d.control, countedListener{Listener: listeners[1], metrics: d.metrics})
	d.serve(d.admin, listeners[2])
	d.ring.Add(timeline.Event{Kind: timeline.ProcessStarted})
	d.log.Log(eventlog.ProcessStarted, "callers", listeners[0].Addr(), "control", listeners[1].Addr(), "admin", listeners[2].Addr())
	return nil
}

// expect passes offsets that other processes have seen to the sources.
func (d *Daemon) expect(ctx context.Context) {
	for {
		select {
		case offset := <-d.loop.Poke():
			d.sources.expect(offset)
		case <-ctx.Done():
			return
		}
	}
}

// listen opens all addresses or none.
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
	d.work.Go(func() {
		err := server.Serve(l)
		if err == http.ErrServerClosed {
			return
		}
		d.log.Log(eventlog.ServeFailed, "address", l.Addr(), "error", err)
		d.failed(err)
	})
}

// Stop drains the daemon: new requests are accepted for the grace, then those in progress are awaited.
func (d *Daemon) Stop(ctx context.Context) error {
	d.loop.Send(ctx, DrainStarted{})
	d.ring.Add(timeline.Event{Kind: timeline.ProcessDraining})
	d.log.Log(eventlog.ProcessDraining, "grace", d.settings.Drain.Grace)
	select {
	case <-d.clock.After(d.settings.Drain.Grace):
	case <-ctx.Done():
	}
	d.finishCallers(ctx)
	d.cancel()
	_ = d.control.Close()
	_ = d.admin.Close()
	d.executor.CloseIdle()
	d.work.Wait()
	d.ring.Add(timeline.Event{Kind: timeline.ProcessStopped})
	d.log.Log(eventlog.ProcessStopped)
	return nil
}

func (d *Daemon) finishCallers(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, d.settings.Drain.Timeout)
	defer cancel()
	if err := d.callers.Shutdown(bounded); err != nil {
		d.log.Log(eventlog.DrainTimedOut, "error", err)
		_ = d.callers.Close()
	}
}
