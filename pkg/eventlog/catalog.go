package eventlog

import "github.com/charmbracelet/log"

// Events logged by every daemon.
var (
	ProcessStarted  = register(1, log.InfoLevel, "process started", "The daemon is listening on its addresses.")
	ProcessReady    = register(2, log.InfoLevel, "process ready", "The daemon has caught up with the configuration and accepts work.")
	ProcessDraining = register(3, log.InfoLevel, "process draining", "The daemon accepts no new work and finishes the requests in progress.")
	ProcessStopped  = register(4, log.InfoLevel, "process stopped", "All work is finished; the daemon exits.")
	SettingsRefused = register(5, log.ErrorLevel, "settings refused", "The settings file has errors; nothing was started. Correct the listed keys.")
	DrainTimedOut   = register(6, log.WarnLevel, "drain timed out", "Requests still in progress after drain_timeout were cut off. Raise drain_timeout.")
	ServeFailed     = register(7, log.ErrorLevel, "server failed", "A listener stopped with an error; the daemon exits.")
)

// Events of the platform log and of the configuration read from it.
var (
	LogUnavailable    = register(100, log.WarnLevel, "log unavailable", "Reads of the platform log fail; the last known state stays in force.")
	LogRecovered      = register(101, log.InfoLevel, "log recovered", "Reads of the platform log succeed again.")
	RecordRefused     = register(102, log.WarnLevel, "record refused", "A log record has an unknown format or cannot be decoded; it is ignored.")
	StoreRestored     = register(105, log.WarnLevel, "store restored", "A response of the platform's store shows that it was restored from an earlier copy: records after that copy are lost and their offsets are given out again. previous and current count the restores; configuration, servers and lease are read again.")
	StoredConfigOlder = register(106, log.WarnLevel, "stored configuration older", "The store holds an older configuration (stored) than the one in force, which stays in force: the store has lost an acknowledged one.")
	CheckpointWritten = register(103, log.InfoLevel, "checkpoint written", "The daemon appended a checkpoint of a stream's state before the records that it replaces expire.")
	CheckpointFailed  = register(104, log.WarnLevel, "checkpoint failed", "A checkpoint could not be appended; it will be retried.")
	LogReadFailed     = register(107, log.InfoLevel, "log read failed", "One read of the platform log failed, for the reason given; failures counts those in a row, and the next read is next_in later.")
	ConfigApplied     = register(110, log.InfoLevel, "configuration applied", "A published change set is in force at this daemon.")
	ConfigRefused     = register(111, log.WarnLevel, "configuration refused", "A published change set conflicts with the configuration in force or is invalid; none of it is applied.")
)

// Events of requests at entry hosts.
var (
	RequestFailed    = register(200, log.WarnLevel, "request failed", "A caller received an error; code and outcome give the reason, told is the status of the response, 0 for an aborted stream.")
	AttemptFailed    = register(201, log.InfoLevel, "attempt failed", "One attempt failed; another attempt of the request may still succeed. status, declared and signed are what the response of the server showed; 0 for none.")
	AttemptResumed   = register(202, log.InfoLevel, "attempt resumed", "A broken response stream continues at another runner after the text already sent.")
	RetryBudgetEmpty = register(203, log.WarnLevel, "retry budget empty", "Too many attempts fail; retries are refused until the retry budget recovers.")
	HostSuspected    = register(204, log.InfoLevel, "host suspected", "A runner did not respond; new requests avoid it temporarily.")
)

// Events of agents.
var (
	AgentAnnounced    = register(300, log.InfoLevel, "agent announced", "The agent has its fencing number and may send orders to its engine.")
	OrderSent         = register(301, log.InfoLevel, "order sent", "The agent ordered its engine to load or unload a model or adapter.")
	OrderDone         = register(302, log.InfoLevel, "order done", "The engine completed an order.")
	OrderFailed       = register(303, log.WarnLevel, "order failed", "An order failed or its response was lost; its memory stays reserved until the engine's report shows the result.")
	MemoryHeld        = register(304, log.WarnLevel, "memory held", "The memory of an unfinished order of an earlier agent incarnation stays reserved.")
	MemoryReleased    = register(305, log.InfoLevel, "memory released", "Reserved memory has been confirmed to be free.")
	ExecRefused       = register(306, log.InfoLevel, "request refused", "The agent refused a request; it was not run.")
	ExecFailed        = register(307, log.WarnLevel, "request failed at backend server", "The backend server failed a request.")
	KeyUnresolved     = register(308, log.WarnLevel, "idempotency key unresolved", "The request with this idempotency key may have run; it will not be run again.")
	AgentSuperseded   = register(309, log.ErrorLevel, "agent superseded", "A newer agent serves the same runner; this one sends no more orders.")
	RunnerEvicted     = register(310, log.WarnLevel, "runner evicted", "A runner is gone; its model copies must be placed on other runners.")
	ExecCancelled     = register(312, log.InfoLevel, "request cancelled", "The caller disconnected or its deadline passed; the work was cancelled at the backend server.")
	EngineUnavailable = register(311, log.WarnLevel, "engine unavailable", "The engine's report cannot be read.")
)
