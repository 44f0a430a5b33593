// Command ferry-gateway is the entry daemon on the users' platform.
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
	// gcPercent trades processor time for memory, which is billed by its peak.
	gcPercent = 60
	// memoryPercent of the memory is the point from which garbage is collected more often.
	memoryPercent = 80
	// logFlush bounds the wait for a slow standard output at the end.
	logFlush = 200 * time.Millisecond
)

func main() {
	command := &cli.Command{
		Name:  "ferry-gateway",
		Usage: "serve callers of the users' platform by the backend servers of the pool",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "path of the platform's settings file", Sources: cli.EnvVars(platform.SettingsPathEnv)},
			&cli.IntFlag{Name: "metrics-port", Usage: "port of the metrics address", Value: 9102},
			&cli.BoolFlag{Name: "check-settings", Usage: "check the settings file and exit"},
			&cli.BoolFlag{Name: "print-settings", Usage: "print the settings as understood and exit"},
		},
		Action: run,
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run ends at SIGTERM or SIGINT, once the requests in progress are finished.
func run(ctx context.Context, command *cli.Command) error {
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
	defer out.Close(logFlush)
	app := gatewaydaemon.NewApp(settings, file.Clients(), out)
	if err := app.Err(); err != nil {
		return err
	}
	if err := app.Start(ctx); err != nil {
		return err
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go watchSettings(path, reload, out)
	end := <-app.Wait()
	stopping, cancel := context.WithTimeout(ctx, app.StopTimeout())
	defer cancel()
	if err := app.Stop(stopping); err != nil {
		return err
	}
	if end.ExitCode != 0 {
		return cli.Exit("a listener failed", end.ExitCode)
	}
	return nil
}
