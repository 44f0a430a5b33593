// Command ferry-gateway is the entry daemon for the users' platform: it accepts the callers' requests and routes them
// to backend servers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/pkg/gatewaydaemon"
	"trefoilferry.example/ferry/platform"
)

const (
	// gcPercent is below Go's default of 100: it trades CPU time for a lower peak of memory, by which memory is billed.
	gcPercent = 60
	// memoryPercent is the share of the configured memory that is set as Go's soft memory limit, above which garbage is
	// collected more often.
	memoryPercent = 80
	// logFlushTimeout limits the wait for a slow standard output at exit.
	logFlushTimeout = 200 * time.Millisecond
)

func main() {
	command := &cli.Command{
		Name:  "ferry-gateway",
		Usage: "accept requests of the users' platform and route them to the backend servers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "path of the platform's settings file", Sources: cli.EnvVars(platform.SettingsPathEnv)},
			&cli.IntFlag{Name: "metrics-port", Usage: "port that serves metrics", Value: 9102},
			&cli.BoolFlag{Name: "check-settings", Usage: "check the settings file and exit"},
			&cli.BoolFlag{Name: "print-settings", Usage: "print the parsed settings and exit"},
		},
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT, then drains the requests in progress for at most the stop timeout.
func run(ctx context.Context, command *cli.Command) error {
	// A SIGHUP that comes during the start must not end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	path := command.String("settings")
	file, err := platform.ReadSettings(path)
	if err != nil || command.Bool("check-settings") {
		return err
	}
	if command.Bool("print-settings") {
		fmt.Printf("%+v\n", *file)
		return nil
	}
	debug.SetGCPercent(gcPercent)
	settings := file.DaemonSettings(command.Int("metrics-port"))
	debug.SetMemoryLimit(settings.MemoryLimitBytes / 100 * memoryPercent)
	out := eventlog.NewAsyncWriter(os.Stdout, eventlog.DefaultLinesPerSecond)
	defer out.Close(logFlushTimeout)
	app := gatewaydaemon.NewApp(settings, file.Clients(), out)
	if err := app.Err(); err != nil {
		return err
	}
	if err := app.Start(ctx); err != nil {
		return err
	}
	go watchSettings(path, reload, out)
	shutdown := <-app.Wait()
	stopCtx, cancel := context.WithTimeout(ctx, app.StopTimeout())
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		return err
	}
	if shutdown.ExitCode != 0 {
		return cli.Exit("a listener failed", shutdown.ExitCode)
	}
	return nil
}
