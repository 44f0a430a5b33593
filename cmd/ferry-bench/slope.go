package main

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"trefoilferry.example/ferry/internal/bench"
)

const defaultWindow = 10 * time.Second

func slopeCommand() *cli.Command {
	return &cli.Command{
		Name:  "slope",
		Usage: "measure the resource use of the daemons at several sizes and fit a line",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "vary", Value: "runners", Usage: "dimension to vary: runners, entries, objects, changes (per minute) or requests (per second)"},
			&cli.IntSliceFlag{Name: "sizes", Value: []int{2, 4, 8, 16}, Usage: "values of the dimension to vary"},
			&cli.DurationFlag{Name: "duration", Value: defaultWindow, Usage: "length of the measurement at each size"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random arrivals, used with --vary requests"},
			jsonFlag(),
		},
		Action: slope,
	}
}

func slope(ctx context.Context, c *cli.Command) error {
	s := bench.Slope{
		Dimension: bench.Dimension(c.String("vary")),
		Sizes:     c.IntSlice("sizes"),
		Window:    c.Duration("duration"),
		Seed:      c.Uint64("seed"),
		BinDir:    c.String("bin"),
	}
	report, err := s.Measure(ctx, os.Stderr)
	if err != nil {
		return err
	}
	if err := report.WriteText(os.Stdout); err != nil {
		return err
	}
	return writeJSON(c, report)
}
