package gatewaydaemon

import (
	"context"
	"net/http"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
)

// drainInterval is how often idle connections are closed while requests are in progress.
const drainInterval = 20 * time.Millisecond

// drain stops accepting connections and waits until the requests in progress have ended, or ctx. http.Server.Shutdown
// would close a connection whose request it has just read without a response; here each request that is read on an
// open connection gets one, which asks the caller to close the connection.
func (d *Daemon) drain(ctx context.Context) {
	// The listener may be closed already if the server has failed.
	_ = d.callerListener.Close()
	accepted := time.Now()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for !d.callerConns.drain(time.Since(accepted)) {
		select {
		case <-ctx.Done():
			d.log.Log(eventlog.DrainTimedOut, "reason", ctx.Err(), "active", d.callerConns.count(http.StateActive))
			return
		case <-ticker.C:
		}
	}
}
