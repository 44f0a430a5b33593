package ctl

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"
)

// App is the command line of ferryctl.
type App struct {
	Stdout io.Writer
	Stderr io.Writer
	// Connect returns a client for the endpoints.
	Connect func(Endpoints) (*Client, error)
	// User is the default author of change sets.
	User string
}

// Endpoints are the services that a command talks to.
type Endpoints struct {
	LogURL   string
	HostsURL string
	Daemons  []string
	// PeerTimeout bounds one call to a daemon.
	PeerTimeout time.Duration
}

// Names of the flags that all commands share.
const (
	flagJSON     = "json"
	flagLog      = "log-url"
	flagHosts    = "hosts-url"
	flagDaemon   = "daemon"
	flagTimeout  = "timeout"
	flagPeerTime = "peer-timeout"
)

// Defaults of the time limits. A peer that does not answer within the limit counts as unreachable.
const (
	defaultTimeout     = 30 * time.Second
	defaultPeerTimeout = 2 * time.Second
)

// Run carries out the command line and returns the exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	root := a.root()
	err := root.Run(ctx, args)
	if err == nil {
		return ExitDone
	}
	if root.Bool(flagJSON) || wantsJSON(args) {
		_ = writeJSON(a.Stdout, errorDocument{viewError(err)})
	} else {
		_, _ = io.WriteString(a.Stderr, errorText(err))
	}
	return ExitCode(err)
}

// wantsJSON finds the flag in a command line that could not be parsed.
func wantsJSON(args []string) bool {
	for _, arg := range args {
		if arg == "--"+flagJSON {
			return true
		}
	}
	return false
}

func (a *App) root() *cli.Command {
	root := &cli.Command{
		Name:      "ferryctl",
		Usage:     "publish configuration and see where it is in force",
		Writer:    a.Stdout,
		ErrWriter: io.Discard,
		Flags:     sharedFlags(),
		Commands: []*cli.Command{
			a.publishCommand(),
			a.validateCommand(),
			a.getCommand(),
			a.historyCommand(),
			a.statusCommand(),
			a.placementsCommand(),
			a.timelineCommand(),
			a.drainCommand("drain", "publish that a runner takes no new work", (*Client).Drain),
			a.drainCommand("undrain", "withdraw the drain of a runner", (*Client).Undrain),
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return usage("unknown command " + cmd.Args().First())
			}
			return cli.ShowRootCommandHelp(cmd)
		},
	}
	markUsage(root)
	return root
}

// markUsage gives faults of the command line the usage code and keeps the library from exiting by itself.
func markUsage(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return usage(err.Error()) }
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	for _, sub := range cmd.Commands {
		markUsage(sub)
	}
}

func sharedFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: flagJSON, Usage: "print one JSON document"},
		&cli.StringFlag{Name: flagLog, Usage: "`URL` of the platform log", Sources: cli.EnvVars("FERRY_LOG_URL")},
		&cli.StringFlag{Name: flagHosts, Usage: "`URL` of the platform's host list", Sources: cli.EnvVars("FERRY_HOSTS_URL")},
		&cli.StringSliceFlag{Name: flagDaemon, Usage: "`ADDRESS` of a daemon to ask instead of all hosts; may be repeated"},
		&cli.DurationFlag{Name: flagTimeout, Usage: "longest `TIME` of the command", Value: defaultTimeout},
		&cli.DurationFlag{Name: flagPeerTime, Usage: "longest `TIME` of one call to a daemon", Value: defaultPeerTimeout},
	}
}

// needs tells what a command talks to.
type needs int

const (
	needsNothing needs = iota
	needsLog
	needsDaemons
)

// command is the work of one subcommand.
type command func(ctx context.Context, cmd *cli.Command, c *Client) (Result, error)

// action connects, runs the work within the time limit and prints the result.
func (a *App) action(need needs, work command) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		client, err := a.client(cmd, need)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
		defer cancel()
		result, err := work(ctx, cmd, client)
		if err != nil {
			return err
		}
		if cmd.Bool(flagJSON) {
			return writeJSON(a.Stdout, result)
		}
		_, err = io.WriteString(a.Stdout, result.Text())
		return err
	}
}

func (a *App) client(cmd *cli.Command, need needs) (*Client, error) {
	endpoints := Endpoints{
		LogURL:      cmd.String(flagLog),
		HostsURL:    cmd.String(flagHosts),
		Daemons:     cmd.StringSlice(flagDaemon),
		PeerTimeout: cmd.Duration(flagPeerTime),
	}
	switch {
	case need == needsNothing:
		return nil, nil
	case need == needsLog && endpoints.LogURL == "":
		return nil, usage("give --" + flagLog + " or set FERRY_LOG_URL")
	case need == needsDaemons && endpoints.HostsURL == "" && len(endpoints.Daemons) == 0:
		return nil, usage("give --" + flagHosts + " or at least one --" + flagDaemon)
	}
	return a.Connect(endpoints)
}
