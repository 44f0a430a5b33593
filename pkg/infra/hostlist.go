package infra

import "context"

// HostState is the state of a host in the platform's list.
type HostState string

const (
	// HostLive marks a host in service.
	HostLive HostState = "live"
	// HostLeaving marks a host that is about to be taken away.
	HostLeaving HostState = "leaving"
)

// Role is the role of the process on a host.
type Role string

const (
	// RoleEntry marks an entry host.
	RoleEntry Role = "entry"
	// RoleRunner marks a backend server host with an agent.
	RoleRunner Role = "runner"
)

// Host is one row of the platform's list.
type Host struct {
	// Name is unique over the deployment; for runners it equals the runner object's name.
	Name string `json:"name"`
	// Role tells which daemon runs there.
	Role Role `json:"role"`
	// Address is the IP address and port of the daemon's control server.
	Address       string    `json:"address"`
	Region        string    `json:"region"`
	FailureDomain string    `json:"failure_domain"`
	State         HostState `json:"state"`
}

// HostList is the platform's lagging list of live and leaving hosts. A host that is gone is absent.
type HostList interface {
	// Hosts returns the current list. Errors are failures with code HostsUnavailable.
	Hosts(ctx context.Context) ([]Host, error)
}
