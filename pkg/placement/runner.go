package placement

// Runner is the current incarnation of a runner's agent.
type Runner struct {
	Name        string
	Incarnation string
	// Address is the IP address and port of the agent.
	Address       string
	Region        string
	FailureDomain string
	// Fencing is the fencing token: the log offset of the AgentStart record.
	Fencing uint64
	// MemoryBytes is the accelerator memory for models; 0 for a service runner.
	MemoryBytes  uint64
	Accelerators uint32
	// Service is the name of the plain service; empty for a model runner.
	Service      string
	AdapterSlots uint32
}
