// Command ferry-bench starts the whole system on loopback, applies open-loop load to it and reports the measurements.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "ferry-bench:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	root := &cli.Command{
		Name:     "ferry-bench",
		Usage:    "start trefoilferry on loopback, apply open-loop load and report the measurements",
		Flags:    []cli.Flag{&cli.StringFlag{Name: "bin", Usage: "directory of the trefoilferry binaries", Value: programDir()}},
		Commands: []*cli.Command{runCommand(), compareCommand(), slopeCommand()},
	}
	return root.Run(ctx, os.Args)
}

// programDir returns the directory of this binary, where the other binaries are expected by default.
func programDir() string {
	path, err := os.Executable()
	if err != nil {
		return "."
	}
	return filepath.Dir(path)
}
