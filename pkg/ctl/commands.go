package ctl

import (
	"context"

	"github.com/urfave/cli/v3"

	"trefoilferry.example/ferry/pkg/timeline"
)

// Names of the flags of individual commands.
const (
	flagAuthor     = "author"
	flagDelete     = "delete"
	flagReplaceAll = "replace-all"
	flagDryRun     = "dry-run"
	flagWait       = "wait"
	flagLimit      = "limit"
	flagRequest    = "request"
	flagObject     = "object"
	flagHost       = "host"
)

func (a *App) authorFlag() cli.Flag {
	return &cli.StringFlag{Name: flagAuthor, Usage: "`NAME` in the history", Value: a.DefaultAuthor, Sources: cli.EnvVars("FERRY_AUTHOR")}
}

func (a *App) publishCommand() *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "put the objects of files in force as one change",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			a.authorFlag(),
			&cli.StringSliceFlag{Name: flagDelete, Usage: "delete the object `KIND/NAME`; may be repeated"},
			&cli.BoolFlag{Name: flagReplaceAll, Usage: "delete every object that the files do not hold, except drains"},
			&cli.BoolFlag{Name: flagDryRun, Usage: "validate against what is in force and publish nothing"},
			&cli.DurationFlag{Name: flagWait, Usage: "wait up to `TIME` until the change is in force at every daemon"},
		},
		Action: a.action(needsLog, publish),
	}
}

func publish(ctx context.Context, cmd *cli.Command, c *Client) (Result, error) {
	files := cmd.Args().Slice()
	deletes := cmd.StringSlice(flagDelete)
	if len(files) == 0 && (len(deletes) == 0 || cmd.Bool(flagReplaceAll)) {
		return nil, usageError("publish needs at least one file")
	}
	if cmd.Duration(flagWait) > 0 && cmd.String(flagHostsURL) == "" && len(cmd.StringSlice(flagDaemon)) == 0 {
		return nil, usageError("--" + flagWait + " needs --" + flagHostsURL + " or at least one --" + flagDaemon)
	}
	source, err := ReadFiles(files)
	if err != nil {
		return nil, err
	}
	return asResult(c.Publish(ctx, PublishOptions{
		Source:     source,
		Deletes:    deletes,
		ReplaceAll: cmd.Bool(flagReplaceAll),
		DryRun:     cmd.Bool(flagDryRun),
		Author:     cmd.String(flagAuthor),
		Wait:       cmd.Duration(flagWait),
	}))
}

// asResult converts a typed result to a Result. It returns a nil interface on error, because a nil pointer stored in
// the interface would compare unequal to nil.
func asResult[T Result](r T, err error) (Result, error) {
	if err != nil {
		return nil, err
	}
	return r, nil
}

func (a *App) validateCommand() *cli.Command {
	return &cli.Command{
		Name:      "validate",
		Usage:     "check files as one whole set, without a log",
		ArgsUsage: "FILE...",
		Action: a.action(needsNothing, func(_ context.Context, cmd *cli.Command, _ *Client) (Result, error) {
			if !cmd.Args().Present() {
				return nil, usageError("validate needs at least one file")
			}
			return asResult(Validate(cmd.Args().Slice()))
		}),
	}
}

func (a *App) getCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "print objects in force",
		ArgsUsage: "[KIND [NAME]]",
		Action: a.action(needsLog, func(ctx context.Context, cmd *cli.Command, c *Client) (Result, error) {
			if cmd.Args().Len() > 2 {
				return nil, usageError("get takes a kind and a name")
			}
			return asResult(c.Get(ctx, cmd.Args().Get(0), cmd.Args().Get(1)))
		}),
	}
}

func (a *App) historyCommand() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "print the verdicts on the last change sets, newest first",
		Flags: []cli.Flag{&cli.IntFlag{Name: flagLimit, Usage: "print at most `N` verdicts; 0 means all that are kept", Value: 20}},
		Action: a.action(needsLog, func(ctx context.Context, cmd *cli.Command, c *Client) (Result, error) {
			if cmd.Int(flagLimit) < 0 {
				return nil, usageError("limit is negative")
			}
			return asResult(c.History(ctx, cmd.Int(flagLimit)))
		}),
	}
}

func (a *App) statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "print where the configuration is in force and who is behind",
		Action: a.action(needsDaemons, func(ctx context.Context, _ *cli.Command, c *Client) (Result, error) {
			return asResult(c.Status(ctx))
		}),
	}
}

func (a *App) placementsCommand() *cli.Command {
	return &cli.Command{
		Name:  "placements",
		Usage: "print which runners hold which models and how much of their memory is committed",
		Action: a.action(needsDaemons, func(ctx context.Context, _ *cli.Command, c *Client) (Result, error) {
			return asResult(c.Placements(ctx))
		}),
	}
}

func (a *App) timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "print the merged events of all daemons in causal order",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagRequest, Usage: "print events of the request `ID` only"},
			&cli.StringFlag{Name: flagObject, Usage: "print events of the object `KIND/NAME` only"},
			&cli.StringFlag{Name: flagHost, Usage: "print events at or about the host `NAME` only"},
			&cli.IntFlag{Name: flagLimit, Usage: "ask each daemon for at most `N` of its newest events; 0 means all"},
		},
		Action: a.action(needsDaemons, func(ctx context.Context, cmd *cli.Command, c *Client) (Result, error) {
			if cmd.Int(flagLimit) < 0 {
				return nil, usageError("limit is negative")
			}
			filter := timeline.Filter{RequestID: cmd.String(flagRequest), Object: cmd.String(flagObject), Host: cmd.String(flagHost)}
			return asResult(c.Timeline(ctx, filter, cmd.Int(flagLimit)))
		}),
	}
}

func (a *App) drainCommand(name, text string, run func(*Client, context.Context, string, string) (*PublishResult, error)) *cli.Command {
	return &cli.Command{
		Name:      name,
		Usage:     text,
		ArgsUsage: "RUNNER",
		Flags:     []cli.Flag{a.authorFlag()},
		Action: a.action(needsLog, func(ctx context.Context, cmd *cli.Command, c *Client) (Result, error) {
			if cmd.Args().Len() != 1 {
				return nil, usageError(name + " needs the name of one runner")
			}
			return asResult(run(c, ctx, cmd.Args().First(), cmd.String(flagAuthor)))
		}),
	}
}
