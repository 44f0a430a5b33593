package entry

import (
	"trefoilferry.example/ferry/pkg/object"
	"trefoilferry.example/ferry/pkg/routing"
)

// emptyConfig is the ConfigView before the configuration was first read.
type emptyConfig struct{}

func (emptyConfig) Model(string) (*object.Model, bool)         { return nil, false }
func (emptyConfig) Adapter(string) (*object.Adapter, bool)     { return nil, false }
func (emptyConfig) Service(string) (*object.Service, bool)     { return nil, false }
func (emptyConfig) Workspace(string) (*object.Workspace, bool) { return nil, false }
func (emptyConfig) Models() []*object.Model                    { return nil }
func (emptyConfig) Adapters() []*object.Adapter                { return nil }
func (emptyConfig) Workspaces() []*object.Workspace            { return nil }
func (emptyConfig) Drained(string) bool                        { return false }

// emptyRoutes is the RouteTable before the placement was first read.
type emptyRoutes struct{}

func (emptyRoutes) Holders(string) []routing.Candidate        { return nil }
func (emptyRoutes) NonHolders(string) []routing.Candidate     { return nil }
func (emptyRoutes) ServiceRunners(string) []routing.Candidate { return nil }
func (emptyRoutes) Incarnation(string) (string, bool)         { return "", false }
