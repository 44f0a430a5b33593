// Package eventlog writes numbered log events.
//
// The event catalog in this package is the source of docs/log-events.md.
package eventlog

import (
	"fmt"
	"io"

	"github.com/charmbracelet/log"
)

// Logger writes the events of one process. It is safe for concurrent use.
type Logger struct {
	out *log.Logger
}

// Format is the format of the log output.
type Format string

const (
	// FormatText writes each event as a line of key=value pairs.
	FormatText Format = "text"
	// FormatJSON writes each event as a JSON object on its own line.
	FormatJSON Format = "json"
)

// NewLogger returns a logger that writes events of at least the given level to w, each with the process name.
func NewLogger(w io.Writer, format Format, level log.Level, process string) *Logger {
	options := log.Options{ReportTimestamp: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00", Level: level}
	if format == FormatJSON {
		options.Formatter = log.JSONFormatter
	}
	return &Logger{out: log.NewWithOptions(w, options).With("process", process)}
}

// Discard returns a logger that discards all events.
func Discard() *Logger {
	return &Logger{out: log.New(io.Discard)}
}

// Log writes an event with additional key-value pairs.
func (l *Logger) Log(e Event, keyvals ...any) {
	fields := append([]any{"event", fmt.Sprintf("F%04d", e.ID)}, keyvals...)
	l.out.Log(e.Level, e.Message, fields...)
}
