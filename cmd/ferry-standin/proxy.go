package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"trefoilferry.example/ferry/pkg/faultproxy"
	"trefoilferry.example/ferry/pkg/standin/serve"
)

func proxyCommand() *cli.Command {
	return &cli.Command{
		Name:  "proxy",
		Usage: "TCP proxy with fault switches",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "target", Required: true, Usage: "IP address and port to forward to"},
			&cli.StringFlag{Name: "control", Value: "127.0.0.1:0", Usage: "IP address and port of the HTTP server that controls the faults"},
		},
		Action: runProxy,
	}
}

// runProxy prints the line "forwarding on ADDR" for the proxy before the line "listening on ADDR" for its control
// server.
func runProxy(ctx context.Context, c *cli.Command) error {
	proxy, err := faultproxy.New(c.String("listen"), c.String("target"))
	if err != nil {
		return err
	}
	defer proxy.Close()
	fmt.Printf("forwarding on %s\n", proxy.Addr())
	return serve.Run(ctx, c.String("control"), proxy.Control(), os.Stdout)
}
