package ctl

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"
)

// App is the ferryctl command-line application.
type App struct {
	Stdout io.Writer
	Stderr io.Writer
	// Connect returns a client that uses the given endpoints.
	Connect func(Endpoints) (*Client, error)
	// DefaultAuthor is the author of change sets if neither --author nor FERRY_AUTHOR is given.
	DefaultAuthor string
}

// Endpoints holds the addresses of the services that a command calls.
type Endpoints struct {
	LogURL   string
	HostsURL string
	// Daemons are the IP:PORT addresses of the daemons to call instead of all hosts of the host list.
	Daemons []string
	// PeerTimeout limits one call to a daemon.
	PeerTimeout time.Duration
}

// Names of the flags that every command accepts.
const (
	flagJSON        = "json"
	flagLogURL      = "log-url"
	flagHostsURL    = "hosts-url"
	flagDaemon      = "daemon"
	flagTimeout     = "timeout"
	flagPeerTimeout = "peer-timeout"
)

// Default timeouts. A daemon that does not respond within the peer timeout counts as unreachable.
const (
	defaultTimeout     = 30 * time.Second
	defaultPeerTimeout = 2 * time.Second
)

// Run executes the command in args and returns the exit code. args includes the program name.
func (a *App) Run(ctx context.Context, args []string) int {
	root := a.root()
	err := root.Run(ctx, args)
	if err == nil {
		return ExitSuccess
	}
	if root.Bool(flagJSON) || wantsJSON(args) {
		_ = writeJSON(a.Stdout, errorDocument{newErrorView(err)})
	} else {
		_, _ = io.WriteString(a.Stderr, errorText(err))
	}
	return ExitCode(err)
}

// wantsJSON looks for the JSON flag in the raw arguments, for command lines that could not be parsed.
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
				return usageError("unknown command " + cmd.Args().First())
			}
			return cli.ShowRootCommandHelp(cmd)
		},
	}
	markUsage(root)
	return root
}

// markUsage maps command-line errors to the usage exit code and keeps the cli library from calling os.Exit.
func markUsage(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return usageError(err.Error()) }
	cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	for _, sub := range cmd.Commands {
		markUsage(sub)
	}
}

func sharedFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: flagJSON, Usage: "print one JSON document"},
		&cli.StringFlag{Name: flagLogURL, Usage: "`URL` of the platform log", Sources: cli.EnvVars("FERRY_LOG_URL")},
		&cli.StringFlag{Name: flagHostsURL, Usage: "`URL` of the platform's host list", Sources: cli.EnvVars("FERRY_HOSTS_URL")},
		&cli.StringSliceFlag{Name: flagDaemon, Usage: "`ADDRESS` of a daemon to ask instead of all hosts; may be repeated"},
		&cli.DurationFlag{Name: flagTimeout, Usage: "longest `TIME` of the command", Value: defaultTimeout},
		&cli.DurationFlag{Name: flagPeerTimeout, Usage: "longest `TIME` of one call to a daemon", Value: defaultPeerTimeout},
	}
}

// requirement names the services that a command needs.
type requirement int

const (
	needsNothing requirement = iota
	needsLog
	needsDaemons
)

// commandFunc implements one subcommand.
type commandFunc func(ctx context.Context, cmd *cli.Command, c *Client) (Result, error)

// action returns a cli action that connects, calls run with the timeout of the command line and prints the result.
func (a *App) action(need requirement, run commandFunc) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		client, err := a.connect(cmd, need)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
		defer cancel()
		result, err := run(ctx, cmd, client)
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

func (a *App) connect(cmd *cli.Command, need requirement) (*Client, error) {
	endpoints := Endpoints{
		LogURL:      cmd.String(flagLogURL),
		HostsURL:    cmd.String(flagHostsURL),
		Daemons:     cmd.StringSlice(flagDaemon),
		PeerTimeout: cmd.Duration(flagPeerTimeout),
	}
	switch {
	case need == needsNothing:
		return nil, nil
	case need == needsLog && endpoints.LogURL == "":
		return nil, usageError("give --" + flagLogURL + " or set FERRY_LOG_URL")
	case need == needsDaemons && endpoints.HostsURL == "" && len(endpoints.Daemons) == 0:
		return nil, usageError("give --" + flagHostsURL + " or at least one --" + flagDaemon)
	}
	return a.Connect(endpoints)
}
