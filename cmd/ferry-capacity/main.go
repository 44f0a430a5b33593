// Command ferry-capacity measures the CPU, memory and control traffic of one daemon in systems of several sizes.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"trefoilferry.example/ferry/internal/capacity"
	"trefoilferry.example/ferry/pkg/failure"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "ferry-capacity:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	return command().Run(ctx, os.Args)
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "ferry-capacity",
		Usage: "measure the CPU, memory and control traffic of one daemon in systems of several sizes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Usage: "directory of the trefoilferry binaries", Value: programDir()},
			&cli.StringFlag{Name: "role", Usage: "role of the measured daemon: entry or agent", Value: "entry"},
			&cli.StringFlag{Name: "position", Usage: "position of the measured daemon in the relay tree: root or leaf", Value: "leaf"},
			&cli.StringFlag{Name: "vary", Usage: "quantity to vary: size, entries, runners, models, adapters, changes, restarts, children, probes or load", Value: "size"},
			&cli.StringFlag{Name: "values", Usage: "comma-separated values of the quantity; for size, factors of the target size", Value: "0.125,0.25,0.5,1"},
			&cli.FloatFlag{Name: "factor", Usage: "size of the system as a factor of the target size, unless size is varied", Value: 1},
			&cli.DurationFlag{Name: "duration", Usage: "length of one measurement", Value: 15 * time.Second},
			&cli.BoolFlag{Name: "json", Usage: "print each result as one line of JSON"},
		},
		Action: measure,
	}
}

// measure runs one measurement per value and prints each result, then the slopes unless the output is JSON.
func measure(ctx context.Context, c *cli.Command) error {
	values, err := parseValues(c.String("values"))
	if err != nil {
		return err
	}
	var series capacity.Series
	for _, v := range values {
		scenario, err := capacity.ScenarioAt(capacity.Role(c.String("role")), capacity.Position(c.String("position")), c.String("vary"), c.Float("factor"), v)
		if err != nil {
			return err
		}
		scenario.Duration = c.Duration("duration")
		result, err := capacity.Run(ctx, c.String("bin"), scenario)
		if err != nil {
			return err
		}
		series.Add(v, result)
		if err := printResult(c, v, result); err != nil {
			return err
		}
	}
	if !c.Bool("json") {
		fmt.Print(series.FittedLines())
	}
	return nil
}

func parseValues(s string) ([]float64, error) {
	var out []float64
	for _, field := range strings.Split(s, ",") {
		v, err := strconv.ParseFloat(strings.TrimSpace(field), 64)
		if err != nil {
			return nil, failure.Wrap(failure.BadRequest, failure.NotRun, "flag --values must list comma-separated numbers", err)
		}
		out = append(out, v)
	}
	return out, nil
}

func printResult(c *cli.Command, value float64, r capacity.Result) error {
	if c.Bool("json") {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	u := r.Usage
	fmt.Printf("%s %s %s=%g: cpu %.2f %% of a core, rss %.1f MB, log %.0f + host list %.0f + peers %.0f = %.0f bytes/s, ready after %d ms\n",
		r.Scenario.Role, r.Scenario.Position, c.String("vary"), value, u.CPUPercent, u.RSSMB, u.LogBytesPerSecond, u.HostListBytesPerSecond, u.PeerBytesPerSecond, u.ControlBytesPerSecond(), r.StartupMillis)
	return nil
}

// programDir returns the directory of this binary, where the other binaries are expected by default.
func programDir() string {
	path, err := os.Executable()
	if err != nil {
		return "."
	}
	return filepath.Dir(path)
}
