package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"trefoilferry.example/ferry/pkg/standin/engine"
	"trefoilferry.example/ferry/pkg/standin/serve"
)

func engineCommand() *cli.Command {
	standard := engine.Default()
	return &cli.Command{
		Name:  "engine",
		Usage: "model engine",
		Flags: []cli.Flag{
			listenFlag(), scaleFlag(),
			&cli.StringFlag{Name: "instance", Usage: "name of the engine process in reports; empty means a random one"},
			&cli.Uint64Flag{Name: "memory", Usage: "accelerator memory in bytes; 0 means no limit"},
			&cli.Float64Flag{Name: "prefill", Value: standard.PrefillRate, Usage: "prompt tokens per second, all requests together"},
			&cli.Float64Flag{Name: "decode", Value: standard.DecodeRate, Usage: "tokens per second of a single request"},
			&cli.IntFlag{Name: "max-running", Value: standard.MaxRunning, Usage: "largest batch"},
			&cli.IntFlag{Name: "max-waiting", Usage: "longest queue; 0 means no bound"},
			&cli.IntFlag{Name: "cache-blocks", Value: standard.CacheBlocks, Usage: "size of the prefix cache, in blocks of 64 tokens"},
			&cli.BoolFlag{Name: "honour-fencing", Usage: "refuse orders with an old fencing number; without it the number is ignored"},
			&cli.DurationFlag{Name: "report-lag", Usage: "age of the state in load reports"},
			&cli.DurationFlag{Name: "cache-event-lag", Usage: "delay of cache events"},
			&cli.IntFlag{Name: "cache-event-gap", Usage: "lose every n-th cache event; 0 loses none"},
			&cli.DurationFlag{Name: "load-time", Usage: "time of a model load, in addition to the weight store's"},
			&cli.StringFlag{Name: "store", Usage: "URL of the weight store; empty means none"},
		},
		Action: runEngine,
	}
}

func runEngine(ctx context.Context, c *cli.Command) error {
	server := engine.New(engine.Config{
		Instance:      c.String("instance"),
		MemoryBytes:   c.Uint64("memory"),
		PrefillRate:   c.Float64("prefill"),
		DecodeRate:    c.Float64("decode"),
		MaxRunning:    c.Int("max-running"),
		MaxWaiting:    c.Int("max-waiting"),
		CacheBlocks:   c.Int("cache-blocks"),
		HonourFencing: c.Bool("honour-fencing"),
		ReportLag:     c.Duration("report-lag"),
		CacheEventLag: c.Duration("cache-event-lag"),
		CacheEventGap: c.Int("cache-event-gap"),
		LoadTime:      c.Duration("load-time"),
		StoreURL:      c.String("store"),
		Scale:         c.Float64("scale"),
	})
	defer server.Close()
	return serve.Run(ctx, c.String("listen"), server, os.Stdout)
}
