package eventlog

import "github.com/charmbracelet/log"

// Events of gateways and of the coordinator among them.
var (
	SettingsReloaded   = add(8, log.InfoLevel, "settings reloaded", "The settings file was read again; changed addresses take effect at the next start.")
	LogLinesDropped    = add(9, log.WarnLevel, "log lines dropped", "Standard output was slow or the line rate exceeded its bound; the count tells how many lines are missing.")
	ServerAppeared     = add(130, log.InfoLevel, "backend server appeared", "The store lists a new incarnation of a backend server.")
	ServerDraining     = add(131, log.InfoLevel, "backend server draining", "A backend server finishes its work; it gets no new requests.")
	ServerGone         = add(132, log.InfoLevel, "backend server gone", "A backend server is no longer listed.")
	ServerSuspected    = add(133, log.InfoLevel, "backend server suspected", "A backend server did not answer and is avoided until the given time.")
	RequestServed      = add(210, log.InfoLevel, "request served", "A caller got a complete answer; candidates and predictions tell why this server was chosen.")
	RequestRefused     = add(211, log.InfoLevel, "request refused", "A request was refused without being run; reason and retry_after tell the caller's next step.")
	StreamResumed      = add(212, log.InfoLevel, "stream resumed", "A broken stream goes on at another backend server after the last delivered event.")
	LeaseTaken         = add(320, log.InfoLevel, "lease taken", "This daemon places models and adapters from first_order_in on.")
	LeaseLost          = add(321, log.WarnLevel, "lease lost", "Another daemon places models and adapters; this one gives no more orders.")
	LeaseReleased      = add(322, log.InfoLevel, "lease released", "The daemon gave the lease up before a planned stop.")
	LeaseUnreadable    = add(323, log.WarnLevel, "lease unreadable", "The store did not answer; the last known holder stays in force.")
	LeaseUnwritten     = add(324, log.WarnLevel, "lease not written", "A renewal or acquisition failed; the store is read before the next one.")
	CoordinatorLost    = add(325, log.WarnLevel, "coordinator unreachable", "The holder of the lease does not answer; backend servers' own reports are used.")
	CoordinatorFound   = add(326, log.InfoLevel, "coordinator reachable", "The holder of the lease answers reports.")
	ModelOrdered       = add(327, log.InfoLevel, "model ordered", "A backend server was ordered to load or unload; demand and copies are the deciding inputs.")
	ModelOrderAnswered = add(328, log.InfoLevel, "model order answered", "A backend server answered an order.")
	RunnerUnreachable  = add(330, log.WarnLevel, "runner unreachable", "The holder could not connect to a runner; until it can, models and adapters there do not count as resident.")
	ModelOrderUnclear  = add(329, log.WarnLevel, "model order unclear", "An order had no usable answer; the server's report is read before the next one.")
)
