package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"trefoilferry.example/ferry/pkg/standin/engine"
	"trefoilferry.example/ferry/pkg/standin/serve"
)

func engineCommand() *cli.Command {
	defaults := engine.DefaultConfig()
	return &cli.Command{
		Name:  "engine",
		Usage: "model engine with continuous batching",
		Flags: []cli.Flag{
			listenFlag(), scaleFlag(),
			&cli.StringFlag{Name: "instance", Usage: "identifier of the engine process in reports; empty means a random one"},
			&cli.Uint64Flag{Name: "memory", Usage: "accelerator memory in bytes; 0 means no limit"},
			&cli.Float64Flag{Name: "prefill", Value: defaults.PrefillRate, Usage: "prompt tokens per second, shared by all requests"},
			&cli.Float64Flag{Name: "decode", Value: defaults.DecodeRate, Usage: "generated tokens per second of a request that runs alone"},
			&cli.IntFlag{Name: "max-running", Value: defaults.MaxRunning, Usage: "largest number of requests in the batch"},
			&cli.IntFlag{Name: "max-waiting", Usage: "largest number of waiting requests; 0 means no limit"},
			&cli.IntFlag{Name: "cache-blocks", Value: defaults.CacheBlocks, Usage: "size of the prefix cache, in blocks of 64 tokens"},
			&cli.BoolFlag{Name: "honour-fencing", Usage: "refuse orders with an old fencing number; without it the number is ignored"},
			&cli.DurationFlag{Name: "report-lag", Usage: "delay before a change of state shows in load reports"},
			&cli.DurationFlag{Name: "cache-event-lag", Usage: "delay before a cache event is visible"},
			&cli.IntFlag{Name: "cache-event-gap", Usage: "drop every n-th cache event; 0 drops none"},
			&cli.DurationFlag{Name: "load-time", Usage: "time of a model load, in addition to the fetch from the weight store"},
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
