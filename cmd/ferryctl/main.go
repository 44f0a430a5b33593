// Command ferryctl is the operators' client: it publishes configuration and shows which daemons have applied it.
package main

import (
	"cmp"
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/uuid"

	"trefoilferry.example/ferry/pkg/clock"
	"trefoilferry.example/ferry/pkg/ctl"
	"trefoilferry.example/ferry/pkg/infra/httphosts"
	"trefoilferry.example/ferry/pkg/infra/httplog"
	"trefoilferry.example/ferry/pkg/oncehttp"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &ctl.App{Stdout: os.Stdout, Stderr: os.Stderr, Connect: connect, DefaultAuthor: cmp.Or(os.Getenv("USER"), "unknown")}
	return app.Run(ctx, os.Args)
}

// connect returns a client of the given endpoints. Log and host list are left out if they have no URL.
func connect(e ctl.Endpoints) (*ctl.Client, error) {
	client := &ctl.Client{
		Daemons:     e.Daemons,
		HTTP:        oncehttp.NewClient(),
		PeerTimeout: e.PeerTimeout,
		Clock:       clock.System{},
		NewID:       uuid.NewString,
	}
	if e.LogURL != "" {
		client.Log = httplog.New(e.LogURL, nil)
	}
	if e.HostsURL != "" {
		client.Hosts = httphosts.New(e.HostsURL, nil)
	}
	return client, nil
}
