package eventlog

import "github.com/charmbracelet/log"

// Events of stream followers.
var (
	StateRestored = add(120, log.InfoLevel, "state restored from checkpoint", "Records were no longer retained or kept; the state of a checkpoint replaces them.")
	RelaysStale   = add(121, log.InfoLevel, "relays stale", "No relay of the failure domain gave fresh records; the log is read directly.")
	RelaysFresh   = add(122, log.InfoLevel, "relays fresh", "A relay of the failure domain gives fresh records again.")
)
