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

// Flags returns the command-line flags of a daemon that concern its settings.
func Flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: FlagSettings, Usage: "read settings from `FILE`"},
		&cli.BoolFlag{Name: FlagCheck, Usage: "check the settings and exit"},
		&cli.BoolFlag{Name: FlagPrint, Usage: "print the settings in force with their defaults and exit"},
	}
}

// LoadFromCommand loads dst from the settings file given by the flags of cmd. It returns true if the command must exit,
// either because the flags ask only to check or print the settings or because of an error. Invalid settings have code
// SettingsInvalid.
func LoadFromCommand(cmd *cli.Command, w io.Writer, dst any) (bool, error) {
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
