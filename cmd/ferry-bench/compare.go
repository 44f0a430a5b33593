package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"trefoilferry.example/ferry/internal/bench"
)

const defaultSeeds = 3

func compareCommand() *cli.Command {
	settings := "settings as key=value,...: profile, policy, load, duration, bin, entry.SECTION.KEY, agent.SECTION.KEY"
	return &cli.Command{
		Name:  "compare",
		Usage: "run two sets of settings alternately with the same seeds and print the ratios of attainment and moves",
		Flags: append(loadFlags(),
			&cli.StringFlag{Name: "a", Required: true, Usage: "first " + settings},
			&cli.StringFlag{Name: "b", Required: true, Usage: "second " + settings},
			&cli.IntFlag{Name: "seeds", Value: defaultSeeds, Usage: "number of consecutive seeds, the first one given by --seed"},
		),
		Action: compare,
	}
}

func compare(ctx context.Context, c *cli.Command) error {
	options, err := parseOptions(c)
	if err != nil {
		return err
	}
	comparison, err := bench.Compare(ctx, options, c.String("a"), c.String("b"), c.Int("seeds"), os.Stderr)
	if err != nil {
		return err
	}
	if err := comparison.WriteText(os.Stdout); err != nil {
		return err
	}
	return writeJSON(c, comparison)
}
