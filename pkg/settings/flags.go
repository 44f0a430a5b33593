package settings

import (
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// Names of the flags that every daemon has.
const (
	FlagSettings = "settings"
	FlagCheck    = "check-settings"
	FlagPrint    = "print-settings"
)

// Flags returns the settings flags of a daemon.
func Flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: FlagSettings, Usage: "read settings from `FILE`"},
		&cli.BoolFlag{Name: FlagCheck, Usage: "check the settings and exit"},
		&cli.BoolFlag{Name: FlagPrint, Usage: "print the settings in force with their defaults and exit"},
	}
}

// FromCommand loads dst from the file that the flags name. It returns true if the command is done,
// because it was asked to check or print the settings only. Failures have code SettingsInvalid.
func FromCommand(cmd *cli.Command, w io.Writer, dst any) (bool, error) {
	if err := Load(cmd.String(FlagSettings), dst); err != nil {
		return true, err
	}
	if cmd.Bool(FlagPrint) {
		return true, Print(w, dst)
	}
	if cmd.Bool(FlagCheck) {
		_, _ = fmt.Fprintln(w, "settings are valid")
		return true, nil
	}
	return false, nil
}
