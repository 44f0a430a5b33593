package eventlog

import "github.com/charmbracelet/log"

// Event is one numbered kind of log line. Numbers never change meaning and are never reused.
type Event struct {
	// ID is the event number; it is logged as F followed by four digits, such as F0001.
	ID    int
	Level log.Level
	// Message is the fixed text of the line.
	Message string
	// Meaning explains the event to operators and tells them what to do; it appears only in docs/log-events.md.
	Meaning string
}
