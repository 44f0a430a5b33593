package infra

import "context"

// HostState is the state of a host in the host list.
type HostState string

const (
	// HostLive marks a host in service.
	HostLive HostState = "live"
	// HostLeaving marks a host that is about to be removed.
	HostLeaving HostState = "leaving"
)

// Role is the kind of daemon that runs on a host.
type Role string

const (
	// RoleEntry marks an entry host.
	RoleEntry Role = "entry"
	// RoleRunner marks a runner: a host with a backend server and its agent.
	RoleRunner Role = "runner"
)

// Host is one row of the host list.
type Host struct {
	// Name is unique in the deployment; for a runner it equals the name of its runner object.
	Name string `json:"name"`
	// Role is the kind of daemon on the host.
	Role Role `json:"role"`
	// Address is the IP address and port of the daemon's control server.
	Address       string    `json:"address"`
	Region        string    `json:"region"`
	FailureDomain string    `json:"failure_domain"`
	State         HostState `json:"state"`
}

// HostList is the platform's list of live and leaving hosts. It may lag behind changes, and it omits removed hosts.
type HostList interface {
	// Hosts returns the current list. Errors are failures with code HostListUnavailable.
	Hosts(ctx context.Context) ([]Host, error)
}
