package main

import (
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"trefoilferry.example/ferry/internal/bench"
)

// The defaults keep a run below one minute.
const (
	// defaultLoad is in requests per second.
	defaultLoad     = 20.0
	defaultDuration = 20 * time.Second
	defaultWarmup   = 4 * time.Second
)

func loadFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "profile", Value: "directorate", Usage: "directorate or damier"},
		&cli.StringFlag{Name: "policy", Value: "probe", Usage: "routing policy: probe, random or round_robin"},
		&cli.Float64Flag{Name: "load", Value: defaultLoad, Usage: "mean requests per second"},
		&cli.DurationFlag{Name: "duration", Value: defaultDuration, Usage: "time during which requests are sent"},
		&cli.DurationFlag{Name: "warmup", Value: defaultWarmup, Usage: "time at the start of the load that is not measured"},
		&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random arrivals"},
		&cli.IntFlag{Name: "entries", Value: 1, Usage: "entry hosts per region"},
		&cli.StringFlag{Name: "flood", Usage: "model or adapter that gets extra load after the warm-up; the others are reported separately"},
		&cli.Float64Flag{Name: "flood-rate", Usage: "extra requests per second for the model or adapter of --flood"},
		&cli.StringFlag{Name: "faults", Usage: "file with a fault schedule"},
		&cli.StringSliceFlag{Name: "set", Usage: "setting of all entry or agent daemons: entry.SECTION.KEY=VALUE or agent.SECTION.KEY=VALUE"},
		&cli.StringFlag{Name: "logs", Usage: "directory for the log output of the daemons"},
		jsonFlag(),
	}
}

func jsonFlag() cli.Flag {
	return &cli.StringFlag{Name: "json", Usage: "file to write the report to, as JSON"}
}

func parseOptions(c *cli.Command) (bench.Options, error) {
	o := bench.Options{
		Profile:          c.String("profile"),
		Policy:           c.String("policy"),
		Rate:             c.Float64("load"),
		Duration:         c.Duration("duration"),
		Warmup:           c.Duration("warmup"),
		Seed:             c.Uint64("seed"),
		EntriesPerRegion: c.Int("entries"),
		LogDir:           c.String("logs"),
		BinDir:           c.String("bin"),
	}
	o.Flood = bench.Flood{Member: c.String("flood"), Rate: c.Float64("flood-rate")}
	if path := c.String("faults"); path != "" {
		faults, err := bench.ReadFaults(path)
		if err != nil {
			return bench.Options{}, err
		}
		o.Faults = faults
	}
	if changes := c.StringSlice("set"); len(changes) > 0 {
		return o.With(strings.Join(changes, ","))
	}
	return o, nil
}

// writeJSON writes the report to the file of the flag json, if that is set.
func writeJSON(c *cli.Command, report any) error {
	path := c.String("json")
	if path == "" {
		return nil
	}
	return bench.WriteJSON(path, report)
}
