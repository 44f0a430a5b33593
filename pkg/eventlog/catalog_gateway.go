package eventlog

import "github.com/charmbracelet/log"

// Events of gateways, including the gateway that is the current coordinator.
var (
	SettingsReloaded       = register(8, log.InfoLevel, "settings reloaded", "The settings file was read again; changed addresses take effect only after a restart.")
	LogLinesDropped        = register(9, log.WarnLevel, "log lines dropped", "Standard output was slow or the line rate exceeded its limit; total is the number of lines dropped since the start.")
	ServerAppeared         = register(130, log.InfoLevel, "backend server appeared", "The store lists a new incarnation of a backend server.")
	ServerDraining         = register(131, log.InfoLevel, "backend server draining", "A backend server is finishing its requests and is sent no new ones.")
	ServerGone             = register(132, log.InfoLevel, "backend server gone", "A backend server is no longer listed.")
	ServerSuspected        = register(133, log.InfoLevel, "backend server suspected", "A backend server did not respond and is avoided until the given time.")
	ServerCrashed          = register(134, log.WarnLevel, "backend server crashed", "Connections to a server broke and it refuses new ones. suspects are the requests without a response that a runner survived, as ID:PART+PART; * marks those whose response had begun.")
	ConnectionsBroke       = register(135, log.InfoLevel, "connections broke", "Connections to a server broke, but it did not refuse new ones.")
	PromptBarred           = register(136, log.WarnLevel, "prompt barred", "Runners crash on requests with these prompt parts; they are refused until the entry expires. source is the daemon that decided.")
	PromptAllowed          = register(137, log.InfoLevel, "prompt allowed", "Runners have survived prompt parts that were barred; requests with them are served again.")
	ServerLimitChanged     = register(138, log.InfoLevel, "server limit changed", "A response of a server names another limit of requests per second than the one before; 0 is none.")
	ServerLeaving          = register(140, log.InfoLevel, "server leaving", "A response of a server says that it leaves; this daemon sends it no new requests, whatever the server list says. source is the response, age how long ago it can have been given at most.")
	ServerLeavingEnded     = register(141, log.InfoLevel, "server left", "An incarnation that said that it leaves is gone; after is the time since it said so.")
	RequestServed          = register(210, log.InfoLevel, "request served", "A caller received a complete response; candidates and predictions show why this server was chosen.")
	RequestRefused         = register(211, log.InfoLevel, "request refused", "A request was refused without being run; reason says why and retry_after when the caller may retry.")
	StreamResumed          = register(212, log.InfoLevel, "stream resumed", "A broken response stream continues at another backend server after the last delivered event.")
	LeaseTaken             = register(320, log.InfoLevel, "lease taken", "This daemon is now the coordinator; it may order models and adapters to be loaded or unloaded once first_order_in has passed.")
	LeaseLost              = register(321, log.WarnLevel, "lease lost", "Another daemon is now the coordinator; this one sends no more orders.")
	LeaseReleased          = register(322, log.InfoLevel, "lease released", "The daemon released the lease before a planned stop.")
	LeaseUnreadable        = register(323, log.WarnLevel, "lease unreadable", "The store did not respond; the last known lease holder is assumed.")
	LeaseNotWritten        = register(324, log.WarnLevel, "lease not written", "A renewal or acquisition of the lease failed; the store is read before the next attempt.")
	CoordinatorUnreachable = register(325, log.WarnLevel, "coordinator unreachable", "The lease holder does not respond, or it does not reach the store (reason). Without a response the backend servers' own reports are used after 1.5 s.")
	CoordinatorReachable   = register(326, log.InfoLevel, "coordinator reachable", "The lease holder accepts reports again.")
	ModelOrdered           = register(327, log.InfoLevel, "model ordered", "A backend server was ordered to load or unload; demand and copies are the deciding inputs.")
	ModelOrderAnswered     = register(328, log.InfoLevel, "model order answered", "A backend server responded to an order.")
	RunnerUnreachable      = register(330, log.WarnLevel, "runner unreachable", "The lease holder could not connect to a runner; until it can, models and adapters there do not count as resident.")
	ModelOrderUnclear      = register(329, log.WarnLevel, "model order unclear", "An order got no usable response; the server's report is read before the next order.")
)
