package gatewaydaemon

import (
	"context"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
)

// drainInterval is how often connections that wait for a request are closed while others have one in progress.
const drainInterval = 20 * time.Millisecond

// drain stops accepting connections, and waits until all are closed or ctx has ended. http.Server.Shutdown would close a
// connection whose request it has just read without a response.
func (d *Daemon) drain(ctx context.Context) {
	// The listener may be closed already if the server has failed.
	_ = d.callerListener.Close()
	<-d.callersServed
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		open := d.callerConns.expire(time.Now())
		if open == 0 {
			return
		}
		select {
		case <-ctx.Done():
			d.log.Log(eventlog.DrainTimedOut, "reason", ctx.Err(), "connections", open)
			return
		case <-ticker.C:
		}
	}
}
