package object

import (
	"maps"
	"slices"
)

// Set is an immutable, valid set of configuration objects.
type Set struct {
	// Offset of the log record that the set is up to date with.
	Offset     uint64
	models     map[string]*Model
	adapters   map[string]*Adapter
	services   map[string]*Service
	workspaces map[string]*Workspace
	caps       map[string]*Cap
	placements map[string]*Placement
	drains     map[string]*Drain
	// Targets of caps and placements; the rules allow one each.
	capByMember      map[member]*Cap
	placementByModel map[string]*Placement
}

// member names the target of a cap.
type member struct {
	kind MemberKind
	name string
}

// Model returns the model of that name.
func (s *Set) Model(name string) (*Model, bool) { return lookup(s.models, name) }

// Adapter returns the adapter of that name.
func (s *Set) Adapter(name string) (*Adapter, bool) { return lookup(s.adapters, name) }

// Service returns the service of that name.
func (s *Set) Service(name string) (*Service, bool) { return lookup(s.services, name) }

// Workspace returns the workspace of that name.
func (s *Set) Workspace(name string) (*Workspace, bool) { return lookup(s.workspaces, name) }

// Drained reports whether the runner of that name shall take no new work.
func (s *Set) Drained(runner string) bool {
	_, ok := s.drains[runner]
	return ok
}

// Models returns all models in name order.
func (s *Set) Models() []*Model { return sorted(s.models) }

// Adapters returns all adapters in name order.
func (s *Set) Adapters() []*Adapter { return sorted(s.adapters) }

// Services returns all services in name order.
func (s *Set) Services() []*Service { return sorted(s.services) }

// Workspaces returns all workspaces in name order.
func (s *Set) Workspaces() []*Workspace { return sorted(s.workspaces) }

// Caps returns all caps in name order.
func (s *Set) Caps() []*Cap { return sorted(s.caps) }

// Placements returns all placements in name order.
func (s *Set) Placements() []*Placement { return sorted(s.placements) }

func lookup[T any](m map[string]*T, name string) (*T, bool) {
	v, ok := m[name]
	return v, ok
}

func sorted[T any](m map[string]*T) []*T {
	out := make([]*T, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[name])
	}
	return out
}

// Drains returns all drains in name order.
func (s *Set) Drains() []*Drain { return sorted(s.drains) }

// PlacementOf returns the placement of a model; false if every region may hold copies.
func (s *Set) PlacementOf(model string) (*Placement, bool) {
	return lookup(s.placementByModel, model)
}

// CapOf returns the cap of a member.
func (s *Set) CapOf(kind MemberKind, name string) (*Cap, bool) {
	found, ok := s.capByMember[member{kind, name}]
	return found, ok
}
