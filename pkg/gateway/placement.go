package gateway

// Placement is the coordinator's view of the model runners.
type Placement struct {
	Version  uint64
	Holdings map[string]Holding
	// PeerTokens is the prompt work of other daemons at each runner that has not produced a first token.
	PeerTokens map[string]int
	// PeerRequests is the number of requests of other daemons at each runner.
	PeerRequests map[string]int
	// Daemons is the number of daemons that report.
	Daemons int
}
