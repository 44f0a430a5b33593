package gatewaydaemon

import (
	"context"
	"net/http"
	"time"

	"trefoilferry.example/ferry/pkg/eventlog"
)

// drainCheckInterval is how often it is checked whether requests are in progress.
const drainCheckInterval = 20 * time.Millisecond

// drain stops accepting connections and waits until the requests in progress have ended, or ctx. http.Server.Shutdown
// would close a connection whose request it has just read without a response; here each request that is read gets
// one, which closes its connection.
func (d *Daemon) drain(ctx context.Context) {
	// The listener may be closed already if the server has failed.
	_ = d.callerListener.Close()
	accepted := time.Now()
	d.callerServer.SetKeepAlivesEnabled(false)
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for !d.callerConns.drained(time.Since(accepted)) {
		select {
		case <-ctx.Done():
			d.log.Log(eventlog.DrainTimedOut, "reason", ctx.Err(), "active", d.callerConns.count(http.StateActive))
			return
		case <-ticker.C:
		}
	}
}
