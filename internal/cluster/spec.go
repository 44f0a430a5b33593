package cluster

import (
	"io"
	"time"
)

// Spec describes a system to run on loopback.
type Spec struct {
	// Entries are the entry hosts.
	Entries []EntrySpec
	// Runners are the backend servers with their agents.
	Runners []RunnerSpec
	// Store holds the limits of the weight store.
	Store StoreSpec
	// HostListDelay is the delay before the host list shows a change.
	HostListDelay time.Duration
	// LogMaxAge is the retention of the log; 0 keeps all records.
	LogMaxAge time.Duration
	// UseFaultProxies puts a fault proxy in front of the log, each agent and each backend server, and one between each
	// entry host and the log.
	UseFaultProxies bool
	// EntrySettings and AgentSettings override settings of every entry host and every agent. They map section.key to the
	// value.
	EntrySettings map[string]string
	AgentSettings map[string]string
	// Mirror receives a copy of the output of all processes, if set. It must be safe for concurrent use.
	Mirror io.Writer
}

// EntrySpec describes one entry host.
type EntrySpec struct {
	Name          string
	Region        string
	FailureDomain string
}

// RunnerSpec describes one backend server with its agent.
type RunnerSpec struct {
	Name          string
	Region        string
	FailureDomain string
	// Service is the name of the plain service to run; empty runs a model engine.
	Service string
	// MemoryBytes is the accelerator memory of an engine.
	MemoryBytes uint64
	// Accelerators is the number of accelerators of an engine.
	Accelerators int
	// HonoursFencing makes the engine refuse orders with an outdated fencing token.
	HonoursFencing bool
	// BackendArgs are extra flags for the engine or service stand-in.
	BackendArgs []string
}

// StoreSpec holds the limits of the weight store.
type StoreSpec struct {
	LoadsPerSecond     float64
	MaxConcurrentLoads int
	AdaptersInFlight   int
	LoadTime           time.Duration
}
