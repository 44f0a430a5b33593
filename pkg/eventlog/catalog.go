package eventlog

import "github.com/charmbracelet/log"

// Events of every daemon.
var (
	ProcessStarted  = add(1, log.InfoLevel, "process started", "The daemon listens on its addresses.")
	ProcessReady    = add(2, log.InfoLevel, "process ready", "The daemon has caught up with the configuration and accepts work.")
	ProcessDraining = add(3, log.InfoLevel, "process draining", "The daemon takes no new work and finishes what is in progress.")
	ProcessStopped  = add(4, log.InfoLevel, "process stopped", "All work is finished; the daemon exits.")
	SettingsRefused = add(5, log.ErrorLevel, "settings refused", "The settings file has errors; nothing was started. Correct the listed keys.")
	DrainTimedOut   = add(6, log.WarnLevel, "drain timed out", "Requests were still in progress at drain_timeout and were cut. Raise drain_timeout.")
	ServeFailed     = add(7, log.ErrorLevel, "server failed", "A listener stopped with an error; the daemon exits.")
)

// Events of the log streams.
var (
	LogUnavailable    = add(100, log.WarnLevel, "log unavailable", "Reads of the platform log fail; the last state stays in force.")
	LogRecovered      = add(101, log.InfoLevel, "log recovered", "Reads of the platform log succeed again.")
	RecordRefused     = add(102, log.WarnLevel, "record refused", "A log record has an unknown format or does not decode; it changes nothing.")
	CheckpointWritten = add(103, log.InfoLevel, "checkpoint written", "The daemon renewed the state of a stream before its records expire.")
	CheckpointFailed  = add(104, log.WarnLevel, "checkpoint failed", "A checkpoint could not be appended; another try follows.")
	ConfigApplied     = add(110, log.InfoLevel, "configuration applied", "A published change set is in force at this daemon.")
	ConfigRefused     = add(111, log.WarnLevel, "configuration refused", "A published change set conflicts or is invalid; nothing of it applies.")
)

// Events of requests at entry hosts.
var (
	RequestFailed  = add(200, log.WarnLevel, "request failed", "A caller got an error; code and outcome tell why.")
	AttemptFailed  = add(201, log.InfoLevel, "attempt failed", "One attempt failed; the request may still succeed elsewhere.")
	AttemptResumed = add(202, log.InfoLevel, "attempt resumed", "A broken stream goes on at another runner from the text already sent.")
	BudgetEmpty    = add(203, log.WarnLevel, "retry budget empty", "Too many attempts fail; retries are refused until the share recovers.")
	HostSuspected  = add(204, log.InfoLevel, "host suspected", "A runner did not answer and is avoided for a while.")
)

// Events of agents.
var (
	AgentAnnounced  = add(300, log.InfoLevel, "agent announced", "The agent has its fencing number and may give orders.")
	OrderSent       = add(301, log.InfoLevel, "order sent", "The agent ordered its engine to change what it has loaded.")
	OrderDone       = add(302, log.InfoLevel, "order done", "The engine carried an order out.")
	OrderFailed     = add(303, log.WarnLevel, "order failed", "An order failed or its answer was lost; its memory stays reserved until the engine shows the result.")
	MemoryHeld      = add(304, log.WarnLevel, "memory held", "Memory of an earlier incarnation's open order stays reserved.")
	MemoryReleased  = add(305, log.InfoLevel, "memory released", "Reserved memory is proved free.")
	ExecRefused     = add(306, log.InfoLevel, "request refused", "The agent refused a request that it did not run.")
	ExecFailed      = add(307, log.WarnLevel, "request failed at backend server", "The backend server failed a request.")
	KeyUnresolved   = add(308, log.WarnLevel, "idempotency key unresolved", "A key's request may have run; it will not be run again.")
	AgentSuperseded = add(309, log.ErrorLevel, "agent superseded", "A newer agent of the same runner exists; this one gives no more orders.")
	RunnerEvicted   = add(310, log.WarnLevel, "runner evicted", "A runner is gone; its copies are to be placed elsewhere.")
	ExecCancelled   = add(312, log.InfoLevel, "request cancelled", "The caller left or its deadline passed; the work was cancelled at the backend server.")
	EngineLost      = add(311, log.WarnLevel, "engine unavailable", "The engine's report cannot be read.")
)
