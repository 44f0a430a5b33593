// Package serve runs the HTTP server of a stand-in process.
package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"trefoilferry.example/ferry/pkg/failure"
)

// shutdownTimeout limits the wait for requests in progress at shutdown. It is short because stand-ins store nothing
// durable.
const shutdownTimeout = 2 * time.Second

// Run listens on address, prints one line "listening on ADDR" to out and serves until ctx is done. Errors have code
// Internal.
func Run(ctx context.Context, address string, handler http.Handler, out io.Writer) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return failure.Wrap(failure.Internal, failure.NotRun, "cannot listen on "+address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	_, _ = fmt.Fprintf(out, "listening on %s\n", listener.Addr())
	select {
	case err := <-done:
		return failure.Wrap(failure.Internal, failure.Unknown, "server failed", err)
	case <-ctx.Done():
	}
	shutdown(server)
	if err := <-done; !errors.Is(err, http.ErrServerClosed) {
		return failure.Wrap(failure.Internal, failure.Unknown, "server failed", err)
	}
	return nil
}

// shutdown waits for requests in progress up to shutdownTimeout, then closes the remaining connections.
func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
