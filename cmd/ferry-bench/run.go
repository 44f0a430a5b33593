package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"trefoilferry.example/ferry/internal/bench"
)

func runCommand() *cli.Command {
	return &cli.Command{
		Name:   "run",
		Usage:  "execute one run; fails without a report if the load generator fell behind, and after the report if a guarantee was breached",
		Flags:  append(loadFlags(), &cli.StringFlag{Name: "plots", Usage: "directory for plots"}),
		Action: runOnce,
	}
}

func runOnce(ctx context.Context, c *cli.Command) error {
	options, err := parseOptions(c)
	if err != nil {
		return err
	}
	result, err := bench.Execute(ctx, options, os.Stderr)
	if err != nil {
		return err
	}
	if err := result.Lateness.Check(); err != nil {
		return err
	}
	if err := result.WriteText(os.Stdout); err != nil {
		return err
	}
	if err := writeJSON(c, result); err != nil {
		return err
	}
	if dir := c.String("plots"); dir != "" {
		if err := result.WritePlots(dir); err != nil {
			return err
		}
	}
	return result.Check()
}
