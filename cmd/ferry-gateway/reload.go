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

// settingsPeriod is how often the settings file is compared; it may change without a signal.
const settingsPeriod = 5 * time.Second

// watchSettings checks the settings file when it changes. All of its fields describe the host and its addresses, so a
// change takes effect at the next start; a broken file is reported and changes nothing.
func watchSettings(path string, reload <-chan os.Signal, w io.Writer) {
	logger := eventlog.NewLogger(w, eventlog.FormatText, log.InfoLevel, "settings")
	last, err := os.ReadFile(path)
	if err != nil {
		logger.Log(eventlog.SettingsRefused, "reason", err)
	}
	ticker := time.NewTicker(settingsPeriod)
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
