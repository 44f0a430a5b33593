// Command ferry-bench drives the whole system on loopback with open-loop load and measures it.
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
		Usage:    "drive trefoilferry on loopback with load and measure it",
		Flags:    []cli.Flag{&cli.StringFlag{Name: "bin", Usage: "directory of the programs", Value: programDir()}},
		Commands: []*cli.Command{runCommand(), compareCommand(), slopeCommand()},
	}
	return root.Run(ctx, os.Args)
}

// programDir is the directory of this program; the other programs are built beside it.
func programDir() string {
	path, err := os.Executable()
	if err != nil {
		return "."
	}
	return filepath.Dir(path)
}
