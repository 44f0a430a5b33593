// Command ferry-entry is the daemon of an entry host.
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
		Usage:  "serve callers by the runners of the pool",
		Flags:  settings.Flags(),
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run ends at SIGTERM or SIGINT, once the requests in progress are finished.
func run(ctx context.Context, command *cli.Command) error {
	s := &entry.Settings{}
	done, err := settings.FromCommand(command, os.Stdout, s)
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
	signal := <-app.Wait()
	stopping, cancel := context.WithTimeout(ctx, app.StopTimeout())
	defer cancel()
	if err := app.Stop(stopping); err != nil {
		return err
	}
	if signal.ExitCode != 0 {
		return cli.Exit("a listener failed", signal.ExitCode)
	}
	return nil
}
