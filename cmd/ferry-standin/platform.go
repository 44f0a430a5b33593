package main

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"trefoilferry.example/ferry/pkg/standin/hosts"
	"trefoilferry.example/ferry/pkg/standin/log"
	"trefoilferry.example/ferry/pkg/standin/serve"
	"trefoilferry.example/ferry/pkg/standin/service"
	"trefoilferry.example/ferry/pkg/standin/store"
)

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "IP address and port to listen on; port 0 picks a free port"}
}

func scaleFlag() cli.Flag {
	return &cli.Float64Flag{Name: "scale", Value: 1, Usage: "factor that multiplies rates and divides times"}
}

func logCommand() *cli.Command {
	return &cli.Command{
		Name:  "log",
		Usage: "append-only log service",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.IntFlag{Name: "max-records", Usage: "records retained per stream; 0 means all"},
			&cli.DurationFlag{Name: "max-age", Usage: "age at which records expire; 0 means never"},
			&cli.Float64Flag{Name: "appends-per-second", Value: 300, Usage: "rate limit of appends over all streams; 0 means no limit"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			handler := log.New(log.Config{
				MaxRecords:       c.Int("max-records"),
				MaxAge:           c.Duration("max-age"),
				AppendsPerSecond: c.Float64("appends-per-second"),
			})
			return serve.Run(ctx, c.String("listen"), handler, os.Stdout)
		},
	}
}

func hostsCommand() *cli.Command {
	return &cli.Command{
		Name:  "hosts",
		Usage: "host list whose changes are visible after a lag",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.DurationFlag{Name: "lag", Value: time.Second, Usage: "delay before a change is visible to readers"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve.Run(ctx, c.String("listen"), hosts.New(c.Duration("lag")), os.Stdout)
		},
	}
}

func storeCommand() *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "rate-limited weight store",
		Flags: []cli.Flag{
			listenFlag(), scaleFlag(),
			&cli.Float64Flag{Name: "loads-per-second", Value: 2, Usage: "rate limit of model load starts; 0 means no limit"},
			&cli.IntFlag{Name: "concurrent", Value: 3, Usage: "number of concurrent model loads at full speed; 0 means no limit"},
			&cli.IntFlag{Name: "adapters-in-flight", Value: 24, Usage: "number of concurrent adapter loads at full speed; 0 means no limit"},
			&cli.DurationFlag{Name: "load-time", Value: time.Second, Usage: "time of a model load at full speed"},
			&cli.Float64Flag{Name: "bytes-per-second", Usage: "transfer rate that adds a time by size to model loads; 0 adds none"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			handler := store.New(store.Config{
				LoadsPerSecond:   c.Float64("loads-per-second"),
				ModelsInFlight:   c.Int("concurrent"),
				AdaptersInFlight: c.Int("adapters-in-flight"),
				LoadTime:         c.Duration("load-time"),
				BytesPerSecond:   c.Float64("bytes-per-second"),
				Scale:            c.Float64("scale"),
			})
			return serve.Run(ctx, c.String("listen"), handler, os.Stdout)
		},
	}
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "plain HTTP service that echoes requests",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "name", Value: "service", Usage: "service name in the responses"},
			&cli.DurationFlag{Name: "delay", Usage: "execution time of a call"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve.Run(ctx, c.String("listen"), service.New(c.String("name"), c.Duration("delay")), os.Stdout)
		},
	}
}
