// Command ferry-agent is the daemon that runs next to one backend server and forwards requests to it.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime"

	"github.com/urfave/cli/v3"

	"trefoilferry.example/ferry/pkg/agent"
	"trefoilferry.example/ferry/pkg/settings"
)

func main() {
	command := &cli.Command{
		Name:   "ferry-agent",
		Usage:  "run the agent of one backend server",
		Flags:  settings.Flags(),
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	var s agent.Settings
	done, err := settings.LoadFromCommand(cmd, os.Stdout, &s)
	if err != nil || done {
		return err
	}
	runtime.GOMAXPROCS(s.Host.Threads)
	s.Runtime.Apply()
	return agent.Run(ctx, &s)
}
