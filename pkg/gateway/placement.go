package gateway

// Placement is the coordinator's view of the model runners: what each has loaded and the work in flight there.
type Placement struct {
	Version uint64
	// Holdings has the server id as its key, as PeerTokens and PeerRequests have.
	Holdings map[string]Holding
	// PeerTokens is the number of prompt tokens of other daemons' requests that have no first token yet.
	PeerTokens map[string]int
	// PeerRequests is the number of other daemons' requests in flight.
	PeerRequests map[string]int
	// Daemons is the number of daemons that report to the coordinator.
	Daemons int
}
