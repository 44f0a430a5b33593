// Package serve runs a stand-in as a process.
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

// stopTimeout bounds the wait for requests in progress at a stop; a stand-in has nothing to lose.
const stopTimeout = 2 * time.Second

// Run listens on address, prints one line "listening on ADDR" to out and serves until ctx ends.
// Failures have code Internal.
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
	stop(server)
	if err := <-done; !errors.Is(err, http.ErrServerClosed) {
		return failure.Wrap(failure.Internal, failure.Unknown, "server failed", err)
	}
	return nil
}

// stop waits for requests in progress and then closes what is left.
func stop(server *http.Server) {
	limit, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if server.Shutdown(limit) != nil {
		_ = server.Close()
	}
}
