package entry

import (
	"trefoilferry.example/ferry/pkg/object"
	"trefoilferry.example/ferry/pkg/routing"
)

// ConfigView is the part of the configuration that entry hosts read. *object.Set implements it.
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

// RouteTable tells who can serve what. Implementations are immutable; candidates are in the order of their names.
type RouteTable interface {
	// Holders returns the runners with a ready copy of the model, of any version.
	Holders(model string) []routing.Candidate
	// Others returns the model runners without a copy of the model.
	Others(model string) []routing.Candidate
	// Providers returns the runners beside the service.
	Providers(service string) []routing.Candidate
	// Incarnation returns the incarnation of the runner's agent; false if there is no such runner.
	Incarnation(runner string) (string, bool)
}
