package main

import (
	"bytes"
	"io"
	"os"
	"time"

	"github.com/charmbracelet/log"

	"trefoilferry.example/ferry/pkg/eventlog"
	"trefoilferry.example/ferry/platform"
)

// settingsPollInterval is the interval at which the settings file is checked for changes, since it may change without a
// SIGHUP.
const settingsPollInterval = 5 * time.Second

// watchSettings validates the settings file whenever its content changes and logs the result. All of its fields
// describe the host and its addresses, so a change takes effect only at the next start; an invalid file is logged as
// refused. It never returns.
func watchSettings(path string, reload <-chan os.Signal, w io.Writer) {
	logger := eventlog.NewLogger(w, eventlog.FormatText, log.InfoLevel, "settings")
	last, err := os.ReadFile(path)
	if err != nil {
		logger.Log(eventlog.SettingsRefused, "reason", err)
	}
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-reload:
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err == nil && bytes.Equal(data, last) {
			continue
		}
		last = data
		if _, err := platform.ReadSettings(path); err != nil {
			logger.Log(eventlog.SettingsRefused, "reason", err)
			continue
		}
		logger.Log(eventlog.SettingsReloaded, "bytes", len(data))
	}
}
