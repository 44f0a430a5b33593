package bench

import "time"

// FaultKind is the action of a fault.
type FaultKind string

// Kinds of faults.
const (
	KillProcess   FaultKind = "kill"
	StartProcess  FaultKind = "start"
	PauseProcess  FaultKind = "pause"
	ResumeProcess FaultKind = "resume"
	LogDown       FaultKind = "log down"
	LogUp         FaultKind = "log up"
	LeaveHost     FaultKind = "leave"
	LoseDomain    FaultKind = "lose domain"
)

// ProcessKind is the kind of process that a fault affects.
type ProcessKind string

// Kinds of processes.
const (
	AgentProcess   ProcessKind = "agent"
	EngineProcess  ProcessKind = "engine"
	ServiceProcess ProcessKind = "service"
	EntryProcess   ProcessKind = "entry"
)

// Fault is one line of a fault schedule.
type Fault struct {
	// At is the time of the fault, counted from the start of the load.
	At   time.Duration
	Kind FaultKind
	// Process is set for faults that affect a process: kill, start, pause and resume.
	Process ProcessKind
	// Name is the name of the runner, entry host or failure domain; empty for faults of the log.
	Name string
}

// String returns the fault in the syntax of a fault schedule.
func (f Fault) String() string {
	s := "at " + f.At.String() + " " + string(f.Kind)
	if f.Process != "" {
		s += " " + string(f.Process)
	}
	if f.Name != "" {
		s += " " + f.Name
	}
	return s
}
