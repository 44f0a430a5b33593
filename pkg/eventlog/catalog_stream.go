package eventlog

import "github.com/charmbracelet/log"

// Events logged by followers of log streams.
var (
	StateRestored = register(120, log.InfoLevel, "state restored from checkpoint", "Missing records are no longer available; the state was restored from a checkpoint instead.")
	RelaysStale   = register(121, log.InfoLevel, "relays stale", "No relay in the failure domain has up-to-date records; the log is read directly.")
	RelaysFresh   = register(122, log.InfoLevel, "relays fresh", "A relay in the failure domain has up-to-date records again.")
)
