package eventlog

import "github.com/charmbracelet/log"

// Event is one numbered kind of log line. Numbers never change meaning and are never reused.
type Event struct {
	// ID is printed as F0000 with every line.
	ID int
	// Level is the severity.
	Level log.Level
	// Message is the fixed text of the line.
	Message string
	// Meaning tells operators what happened and what to do.
	Meaning string
}
