package bench

import "time"

// FaultKind is what a fault does.
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

// ProcessKind is the kind of process that a fault concerns.
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
	// At is the time since the beginning of the load.
	At   time.Duration
	Kind FaultKind
	// Process is set for faults of processes.
	Process ProcessKind
	// Name is the runner, entry host or failure domain.
	Name string
}

// String returns the fault as written in a schedule.
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
