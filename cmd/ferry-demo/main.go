// Command ferry-demo runs the whole system on loopback, as a demonstration and as a smoke test in CI.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/urfave/cli/v3"

	"trefoilferry.example/ferry/internal/demo"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "ferry-demo:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	return command().Run(ctx, os.Args)
}

func command() *cli.Command {
	bin := &cli.StringFlag{Name: "bin", Usage: "directory of the trefoilferry binaries", Value: programDir()}
	return &cli.Command{
		Name:  "ferry-demo",
		Usage: "run trefoilferry on loopback with stand-ins for the platform",
		Flags: []cli.Flag{bin},
		Commands: []*cli.Command{
			{Name: "run", Usage: "send sample requests, print the results and exit", Action: func(ctx context.Context, c *cli.Command) error {
				return demo.New(c.String("bin"), os.Stdout).Run(ctx)
			}},
			{Name: "up", Usage: "keep the system running until interrupted", Action: func(ctx context.Context, c *cli.Command) error {
				return demo.New(c.String("bin"), os.Stdout).Up(ctx)
			}},
		},
	}
}

// programDir returns the directory of this binary, where the other binaries are expected by default.
func programDir() string {
	path, err := os.Executable()
	if err != nil {
		return "."
	}
	return filepath.Dir(path)
}
