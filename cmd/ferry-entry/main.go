// Command ferry-entry is the daemon of an entry host: it accepts the callers' requests and routes them to runners.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"trefoilferry.example/ferry/pkg/entry"
	"trefoilferry.example/ferry/pkg/settings"
)

func main() {
	command := &cli.Command{
		Name:   "ferry-entry",
		Usage:  "accept callers' requests and route them to the runners",
		Flags:  settings.Flags(),
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT, then drains the requests in progress for at most the stop timeout.
func run(ctx context.Context, command *cli.Command) error {
	s := &entry.Settings{}
	done, err := settings.LoadFromCommand(command, os.Stdout, s)
	if done || err != nil {
		return err
	}
	s.Runtime.Apply()
	app := entry.NewApp(s, os.Stderr)
	if err := app.Err(); err != nil {
		return err
	}
	if err := app.Start(ctx); err != nil {
		return err
	}
	shutdown := <-app.Wait()
	stopCtx, cancel := context.WithTimeout(ctx, app.StopTimeout())
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		return err
	}
	if shutdown.ExitCode != 0 {
		return cli.Exit("a listener failed", shutdown.ExitCode)
	}
	return nil
}
