// Command ferry-standin runs stand-ins for the external systems that trefoilferry depends on, for tests and demos.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	if err := run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT, then waits briefly for requests in progress.
func run(args []string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cli.Command{
		Name:     "ferry-standin",
		Usage:    "stand-ins for log, host list, weight store, engine and service, and a fault proxy",
		Commands: []*cli.Command{logCommand(), hostsCommand(), storeCommand(), engineCommand(), serviceCommand(), proxyCommand()},
	}
	return root.Run(ctx, args)
}
