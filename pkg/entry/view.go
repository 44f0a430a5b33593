package entry

import (
	"trefoilferry.example/ferry/pkg/object"
	"trefoilferry.example/ferry/pkg/routing"
)

// ConfigView is the part of the configuration that entry hosts use. It is implemented by *object.Set.
type ConfigView interface {
	Model(name string) (*object.Model, bool)
	Adapter(name string) (*object.Adapter, bool)
	Service(name string) (*object.Service, bool)
	Workspace(name string) (*object.Workspace, bool)
	Models() []*object.Model
	Adapters() []*object.Adapter
	Workspaces() []*object.Workspace
	Drained(runner string) bool
}

// RouteTable returns the runners that can serve a model or service, sorted by name. Implementations are immutable.
type RouteTable interface {
	// Holders returns the runners with a ready copy of the model, in any version.
	Holders(model string) []routing.Candidate
	// NonHolders returns the runners for models that have no copy of this model.
	NonHolders(model string) []routing.Candidate
	// ServiceRunners returns the runners whose backend server is the service.
	ServiceRunners(service string) []routing.Candidate
	// Incarnation returns the incarnation of the runner's agent, and false if the runner is unknown.
	Incarnation(runner string) (string, bool)
}
